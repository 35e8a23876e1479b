"""Control planes of the emulator: a replicated group, or a single simplified process."""

from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from finchshed.configuration.resources import Endpoint, EndpointState, Policy
from finchshed.distribution.identity import ClientIdentity
from finchshed.emulator import acts
from finchshed.emulator.control.group import PLATFORM_LAG_SECONDS, ControlGroup
from finchshed.emulator.daemons.control_connection import ControlConnection
from finchshed.emulator.daemons.daemon import SimulatedDaemon
from finchshed.emulator.daemons.follower_runner import FollowerDisk, SimulatedFollowerRunner
from finchshed.emulator.plain_control import COMMIT_SECONDS, SimplifiedControl
from finchshed.emulator.simulation import Simulation
from finchshed.proof.history import ControlReachable

REACHABILITY_POLL_SECONDS: Final = 0.5
"""Interval between checks of which daemons can reach a majority."""


class ReplicatedControlPlane:
    """A replicated group of control nodes, which daemons follow as in production.

    Every second daemon has a disk on which its follower's record persists.
    """

    def __init__(self, simulation: Simulation, zones: tuple[str, ...], count: int) -> None:
        self._simulation = simulation
        self._group = ControlGroup(simulation, zones, count)
        self._disks: dict[str, FollowerDisk] = {}
        self._daemons: list[SimulatedDaemon] = []
        self._reachable: dict[str, bool] = {}
        self.crash = self._group.crash
        self.freeze = self._group.freeze
        self.stop_planned = self._group.stop_planned
        self.submit = self._group.submit
        self.declare_draining = self._group.declare_draining
        self.list_live = self._group.list_live
        self.list_leaving = self._group.list_leaving

    def connect(self, daemon: SimulatedDaemon) -> ControlConnection:
        """Return a follower and its control client for the daemon."""
        disk = self._disks.get(daemon.name)
        if disk is None:
            disk = FollowerDisk(has_disk=len(self._disks) % 2 == 0)
            self._disks[daemon.name] = disk
        back_end = daemon.back_end
        identity = ClientIdentity(
            node=daemon.name,
            incarnation=str(daemon.generation),
            service=back_end.service if back_end is not None else "",
            zone=daemon.site.zone,
            endpoint=daemon.name if back_end is not None else "",
        )
        runner = SimulatedFollowerRunner(
            daemon,
            identity,
            self._group.by_address,
            listener=daemon,
            disk=disk,
            rng=daemon.random,
        )
        return ControlConnection(runner.client, runner)

    def start(
        self, endpoints: Iterable[Endpoint], policy: Policy, daemons: list[SimulatedDaemon]
    ) -> None:
        """Form the group, submit the initial configuration and start the daemons' followers."""
        self._daemons = daemons
        self._group.start(endpoints, policy)
        for daemon in daemons:
            daemon.start_follower()
        self._poll_reachability()

    def node_name(self, node: str) -> str:
        """Resolve ``leader`` and ``follower`` to a node's name; return other names unchanged."""
        if node in ("leader", "follower"):
            return self._group.node(node).name
        return node

    def record_reachability(self) -> None:
        """Record each daemon whose ability to reach a majority has changed."""
        for daemon in self._daemons:
            reachable = self._group.can_reach_majority(daemon)
            if self._reachable.get(daemon.name) != reachable:
                self._reachable[daemon.name] = reachable
                self._simulation.recorder.record(
                    ControlReachable(self._simulation.now, daemon.name, reachable)
                )

    def _poll_reachability(self) -> None:
        self.record_reachability()
        self._simulation.clock.call_later(REACHABILITY_POLL_SECONDS, self._poll_reachability)


class SimplifiedControlPlane:
    """A single control process that distributes configuration without followers."""

    def __init__(self, simulation: Simulation) -> None:
        self._clock = simulation.clock
        self._control = SimplifiedControl(simulation)
        self._daemons: list[SimulatedDaemon] = []
        self._endpoints: dict[str, Endpoint] = {}
        self._policy = Policy()
        self._revision = 1

    def connect(self, daemon: SimulatedDaemon) -> ControlConnection:
        """Return the ledger client; a restarted daemon is configured after a commit delay."""
        if self._daemons:
            daemon.call_later(2 * COMMIT_SECONDS, self._configure, daemon)
        return ControlConnection(self._control)

    def start(
        self, endpoints: Iterable[Endpoint], policy: Policy, daemons: list[SimulatedDaemon]
    ) -> None:
        """Configure all daemons immediately."""
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self._policy = policy
        self._daemons = daemons
        for daemon in daemons:
            self._configure(daemon)

    def crash(self, node: str, seconds: float, wipe_disk: bool) -> None:
        """Make control unavailable for ``seconds``."""
        self._control.crash(node, seconds)

    def freeze(self, node: str, seconds: float) -> None:
        """Make control unavailable for ``seconds``."""
        self._control.crash(node, seconds)

    def stop_planned(self, node: str, seconds: float) -> None:
        """Make control unavailable for ``seconds``."""
        self._control.crash(node, seconds)

    def submit(self, act: acts.Submit) -> None:
        """Set the retry ratio to 0.1."""
        self._policy = msgspec.structs.replace(self._policy, retry_ratio=0.1)
        self._distribute()

    def declare_draining(self, endpoint: str, accepted: Callable[[], None]) -> None:
        """Declare an endpoint as leaving."""
        held = self._endpoints[endpoint]
        self._endpoints[endpoint] = msgspec.structs.replace(held, state=EndpointState.LEAVING)
        accepted()
        self._distribute()

    def list_leaving(self, endpoint: str) -> None:
        """Announce an endpoint as leaving after the platform's lag."""
        self._clock.call_later(PLATFORM_LAG_SECONDS, self._announce_leaving, endpoint)

    def list_live(self, endpoint: str) -> None:
        """Do nothing, since announcements of leaving aren't repeated."""

    def node_name(self, node: str) -> str:
        """Return ``node``."""
        return node

    def record_reachability(self) -> None:
        """Do nothing, since control is always reachable."""

    def _configure(self, daemon: SimulatedDaemon) -> None:
        daemon.configure(self._endpoints.values(), self._policy, self._revision)
        if not daemon.is_serving:
            daemon.start_serving()

    def _distribute(self) -> None:
        self._revision += 1
        for daemon in self._daemons:
            if daemon.up:
                daemon.call_later(2 * COMMIT_SECONDS, self._configure, daemon)

    def _announce_leaving(self, endpoint: str) -> None:
        for daemon in self._daemons:
            if daemon.up:
                daemon.table.mark_draining(endpoint, daemon.now)
            if daemon.name == endpoint and daemon.callee is not None:
                daemon.callee.drain()
