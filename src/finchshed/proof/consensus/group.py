"""A simulated control group and what faults do to it."""

import random
from collections.abc import Callable

import msgspec

from finchshed.consensus.membership import InitialMember, MemberRole
from finchshed.consensus.options import RaftOptions
from finchshed.proof.consensus.network import LinkQuality, SimulatedNetwork
from finchshed.proof.consensus.node import SimulatedNode, address_of
from finchshed.proof.consensus.observer import Observer
from finchshed.proof.consensus.scheduler import Process, Scheduler
from finchshed.storage.simulated_disk import SimulatedDisk

UNLIMITED_BYTES = 1 << 40

_POLL_SECONDS = 0.05
"""Seconds between looks at a condition."""


OPTIONS = RaftOptions(
    max_append_entries=8,
    max_in_flight_appends=4,
    snapshot_piece_bytes=256,
    snapshot_every_entries=24,
    trailing_entries=6,
    promotion_lag_entries=4,
    standby_after_seconds=8.0,
)
"""Production times but for standbys; sizes so small that all of them matter within seconds."""

GROWN_STANDBY_SECONDS = 3.0
"""As the deployments with a declared tolerance set it."""

ZONE_COUNT = 6
"""Zones that machines are placed in by turns; as many as the largest deployment has."""


def options_from(rng: random.Random, tolerated_failures: int = 0) -> RaftOptions:
    """Return options under which, for some seeds, windows are small and elections collide."""
    options = OPTIONS
    if tolerated_failures:
        options = msgspec.structs.replace(
            options,
            tolerated_failures=tolerated_failures,
            admits_standbys=True,
            standby_after_seconds=GROWN_STANDBY_SECONDS,
        )
    return msgspec.structs.replace(
        options,
        max_append_entries=rng.choice((1, 8)),
        max_in_flight_appends=rng.choice((1, 4)),
        election_timeout_max_seconds=rng.choice((1.05, 2.0)),
    )


class Group:
    """Nodes, their network and their observer, under one seed.

    Parameters
    ----------
    seed
        Decides everything.
    voters
        Number of initial voters.
    spares
        Number of nodes that run beside them and are no members.
    tolerated_failures
        Machines that the group must be able to lose at once; it takes in spares as it needs them.
    """

    def __init__(self, seed: str, voters: int, spares: int, tolerated_failures: int = 0) -> None:
        self.scheduler = Scheduler()
        self.observer = Observer(self.scheduler)
        self.rng = random.Random(f"{seed}/faults")
        self.network = SimulatedNetwork(self.scheduler, random.Random(f"{seed}/network"))
        names = [f"n{number}" for number in range(1, voters + spares + 1)]
        self.voter_names = names[:voters]
        self._seed = seed
        self.tolerated_failures = tolerated_failures
        self.options = options_from(random.Random(f"{seed}/options"), tolerated_failures)
        self._initial = tuple(InitialMember(name, address_of(name)) for name in self.voter_names)
        self.nodes: dict[str, SimulatedNode] = {}
        for name in names:
            self.add_machine(name, name)

    @property
    def running(self) -> list[SimulatedNode]:
        """Nodes whose process runs, frozen or not."""
        return [node for node in self.nodes.values() if node.is_running]

    def add_machine(self, key: str, name: str) -> SimulatedNode:
        """Set up a machine with an empty disk for the node ``name``, not yet started."""
        node = SimulatedNode(
            key,
            name,
            self._initial,
            options=self.options,
            scheduler=self.scheduler,
            network=self.network,
            observer=self.observer,
            rng=random.Random(f"{self._seed}/{key}"),
            zone=f"zone-{len(self.nodes) % ZONE_COUNT}",
        )
        self.nodes[key] = node
        return node

    def start(self) -> None:
        """Start all nodes that are down."""
        for node in self.nodes.values():
            node.start()

    def leader(self) -> SimulatedNode | None:
        """Return the leader of the highest term, if any node takes itself for one."""
        leaders = [node for node in self.running if node.is_leader]
        return max(leaders, key=lambda node: node.raft.term, default=None)

    def some_node(self) -> SimulatedNode:
        """Return any node; the leader twice as often as by chance."""
        leader = self.leader()
        if leader is not None and self.rng.random() < 0.4:
            return leader
        return self.rng.choice(list(self.nodes.values()))

    def some_voter(self) -> SimulatedNode:
        """Return any initial voter; the leader more often than by chance."""
        leader = self.leader()
        if leader is not None and leader.name in self.voter_names and self.rng.random() < 0.4:
            return leader
        return self.nodes[self.rng.choice(self.voter_names)]

    def is_whole(self) -> bool:
        """Whether every wanted voter is one, on the disk it has now, and has caught up."""
        leader = self.leader()
        if leader is None or leader.raft.log.membership_index > leader.raft.commit_index:
            return False
        if len(leader.raft.membership.voters) < self.options.target_voter_count:
            return False
        statuses = {status.member.identity: status for status in leader.raft.member_statuses()}
        for member in leader.raft.membership.members:
            if member.role is MemberRole.LEARNER:
                if member.promote:
                    return False
                continue
            if not any(node.raft.identity == member.identity for node in self.running):
                return False
            if statuses[member.identity].match_index < leader.raft.commit_index:
                return False
        return True

    def slow_disks(self) -> None:
        """Make some disks slow."""
        for node in self.nodes.values():
            node.disk_slowness = self.rng.choice((1.0, 1.0, 10.0, 60.0))

    def heal(self) -> None:
        """End every fault: links, freezes, full and slow disks, crashed nodes."""
        self.network.heal()
        self.network.quality = LinkQuality()
        for node in self.nodes.values():
            node.disk.capacity_bytes = UNLIMITED_BYTES
            node.disk_slowness = 1.0
            node.thaw()
            node.start()

    def wait_until(
        self, condition: Callable[[], bool], patience: float, poll: float = _POLL_SECONDS
    ) -> Process:
        """Wait for a condition up to ``patience`` seconds; the process returns whether it holds."""
        deadline = self.scheduler.now + patience
        while not condition():
            if self.scheduler.now >= deadline:
                return False
            yield self.scheduler.sleep(poll)
        return True

    def pause(self, shortest: float, longest: float) -> Process:
        """Wait for a random time, in seconds."""
        yield self.scheduler.sleep(self.rng.uniform(shortest, longest))

    def restart_later(self, node: SimulatedNode, shortest: float, longest: float) -> None:
        """Start a node again after a random time, in seconds."""
        self.scheduler.call_later(self.rng.uniform(shortest, longest), node.start)


def fill_disk(disk: SimulatedDisk, room_bytes: int) -> None:
    """Leave this much room on a disk."""
    disk.capacity_bytes = disk.used_bytes + room_bytes
