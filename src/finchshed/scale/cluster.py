"""The processes of a scale run: started, killed by identity, measured, and all stopped."""

import asyncio
import pathlib
import signal
import time
from collections.abc import Collection, Iterable

from finchshed.common.errors import FinchshedError
from finchshed.ctl.client import OperatorClient
from finchshed.fleet.network import FleetNetwork
from finchshed.fleet.processes import FleetProcess, ProcessSpec, Role, wait_until_listening
from finchshed.fleet.relay import Condition, Conditions, Peer, Relay, Rule
from finchshed.fleet.socket_diagnosis import inode_between
from finchshed.fleet.sockets import holder_of
from finchshed.rpc.generated import finchshed_pb2 as pb
from finchshed.scale.changes import ChangeMaker
from finchshed.scale.layout import (
    CONTROL_ZONES,
    ScaleSize,
    changes,
    declarations,
    hollow_endpoints,
    place_of,
)
from finchshed.scale.plan import (
    BOOTSTRAP_TOKEN,
    OPERATOR_TOKEN,
    ScalePlan,
    control_name,
    plan_run,
    plan_workers,
)
from finchshed.scale.usage import ProcessSample, sample_all
from finchshed.scale.workers import Workers

READY_SECONDS = 60.0
STOP_SECONDS = 15.0
LEADER_SECONDS = 30.0
STANDBY_SECONDS = 60.0
POLL_SECONDS = 0.2
LOG_TAIL_BYTES = 2_000
RUNNER_HOST = "250.1"
CUT = Condition(cut=True)


class Cluster:
    """All processes of a scale run. Use as an asynchronous context manager."""

    def __init__(self, folder: pathlib.Path, size: ScaleSize, seed: int) -> None:
        self._network = FleetNetwork()
        self.plan: ScalePlan = plan_run(folder, self._network.prefix, size, seed)
        self.size = size
        self.workers = Workers()
        self.processes: dict[str, FleetProcess] = {}
        self._conditions = Conditions()
        self._relay = Relay(self._conditions, self._identify)
        self.changes = ChangeMaker(
            self.plan.rpc_addresses,
            OPERATOR_TOKEN,
            changes(hollow_endpoints(size, self.plan.prefix)),
        )
        for spec in self.plan.specs:
            self._add(spec)

    async def __aenter__(self) -> "Cluster":
        await self.workers.start(f"{self.plan.prefix}{RUNNER_HOST}")
        return self

    async def __aexit__(self, *_: object) -> None:
        try:
            self.workers.close()
            for role in (Role.EDGE, Role.DAEMON, Role.HOLLOW, Role.BACKEND, Role.CONTROL):
                number = signal.SIGINT if role is Role.BACKEND else signal.SIGTERM
                chosen = self.of_role(role)
                await asyncio.gather(*(item.stop(number, STOP_SECONDS) for item in chosen))
        finally:
            for process in self.processes.values():
                process.kill_now()
            await self._relay.close()
            self._network.release()

    def of_role(self, *roles: Role) -> list[FleetProcess]:
        """Return the processes in one of ``roles``."""
        return [process for process in self.processes.values() if process.spec.role in roles]

    async def start_control(self) -> None:
        """Start the control nodes, declare everything, and put the standby in."""
        for name, (public, private) in self.plan.raft_relays.items():
            await self._relay.listen(public, private, self._peer(name))
        await self._start(self.of_role(Role.CONTROL))
        resources = declarations(self.size, self.plan.prefix, OPERATOR_TOKEN)
        await self.changes.bootstrap(BOOTSTRAP_TOKEN, resources)
        await asyncio.to_thread(self._add_standby)

    async def start_real(self) -> None:
        """Start the real daemons, their back ends, and the edge."""
        await self._start(self.of_role(Role.BACKEND))
        await self._start(self.of_role(Role.DAEMON, Role.EDGE))

    async def start_workers(self, zones: Collection[str] = ()) -> None:
        """Start the processes for hollow daemons, all or those of ``zones``; none runs yet."""
        chosen = []
        for spec, settings in plan_workers(self.plan, self.workers.address):
            if zones and spec.zone not in zones:
                continue
            self.workers.expect(settings)
            chosen.append(self._add(spec))
        for process in chosen:
            process.start()
        await self.workers.wait_ready([process.spec.name for process in chosen])

    def hollow_names(self, zones: Collection[str] = ()) -> list[str]:
        """Return the names of hollow daemons, all or those of ``zones``."""
        endpoints = hollow_endpoints(self.size, self.plan.prefix)
        return [item.name for item in endpoints if not zones or item.zone in zones]

    async def kill(self, processes: Iterable[FleetProcess]) -> None:
        """Kill processes, one at a time, without notice."""
        for process in processes:
            process.send_signal(signal.SIGKILL)
            await process.wait(STOP_SECONDS)

    async def restart(self, process: FleetProcess) -> None:
        """Start a process that was killed, and wait until it listens."""
        await self._start([process])

    def leader(self) -> str:
        """Return the leading control node, as it says itself. Blocks.

        Raises
        ------
        FinchshedError
            If there is none in time.
        """
        client = self._client()
        deadline = time.monotonic() + LEADER_SECONDS
        try:
            while time.monotonic() < deadline:
                for _, answer, _ in client.call_each("Members", pb.MembersRequest()):
                    if isinstance(answer, pb.MembersResponse) and answer.leader == answer.node:
                        return str(answer.leader)
                time.sleep(POLL_SECONDS)
        finally:
            client.close()
        raise FinchshedError("no control node leads")

    def cut_regions(self, groups: tuple[frozenset[str], ...]) -> None:
        """Cut groups of zones off from each other, in silence."""
        for group in groups:
            others = [zone for other in groups if other != group for zone in other]
            prefixes = tuple(f"{self.plan.prefix}{place_of(zone).number}." for zone in others)
            self.workers.cut(group, prefixes)
            for zone in group:
                for other in others:
                    rule = Rule(source=zone, target=other, condition=CUT)
                    self._conditions.set(f"{zone}>{other}", rule)

    def cut_from_control(self, zones: Collection[str]) -> None:
        """Cut the daemons of ``zones`` off from all control nodes, but not from each other."""
        hosts = tuple(address.rpartition(":")[0] for address in self.plan.rpc_addresses)
        self.workers.cut(zones, hosts)

    def heal(self, zones: Collection[str]) -> None:
        """End all cuts of ``zones``."""
        self.workers.cut(zones, ())
        for zone in zones:
            for other in zones:
                self._conditions.clear(f"{zone}>{other}")

    def sample(self) -> dict[Role, dict[int, ProcessSample]]:
        """Return samples of all production and hollow processes, by role."""
        return {role: sample_all(self.pids(role)) for role in Role}

    def pids(self, role: Role) -> list[int]:
        """Return the identities of the running processes of a role."""
        return [process.pid for process in self.of_role(role) if process.pid]

    def ended_unasked(self) -> list[str]:
        """Return the names of processes that ended without being asked to."""
        return [
            name
            for name, process in self.processes.items()
            if process.expected_to_run and not process.is_running
        ]

    def _add(self, spec: ProcessSpec) -> FleetProcess:
        process = FleetProcess(spec, self.plan.folder / "logs" / f"{spec.name}.log")
        self.processes[spec.name] = process
        return process

    async def _start(self, processes: Collection[FleetProcess]) -> None:
        for process in processes:
            process.start()
        deadline = time.monotonic() + READY_SECONDS
        for process in processes:
            for address in process.spec.listens:
                if not await wait_until_listening(address, deadline, process):
                    raise FinchshedError(f"{process.spec.name} doesn't listen{self._tail(process)}")

    def _tail(self, process: FleetProcess) -> str:
        path = self.plan.folder / "logs" / f"{process.spec.name}.log"
        return "\n" + path.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")

    def _add_standby(self) -> None:
        """Put the last control node in as a standby, and wait until it is."""
        request = pb.ReplaceMemberRequest(add=control_name(CONTROL_ZONES[-1]), standby=True)
        client = self._client()
        deadline = time.monotonic() + STANDBY_SECONDS
        try:
            while time.monotonic() < deadline:
                answer = client.call("ReplaceMember", request)
                if isinstance(answer, pb.ReplaceMemberResponse) and answer.done:
                    return
                time.sleep(POLL_SECONDS)
        finally:
            client.close()
        raise FinchshedError("the standby control node was not put in")

    def _client(self) -> OperatorClient:
        return OperatorClient(self.plan.rpc_addresses, OPERATOR_TOKEN, STANDBY_SECONDS)

    def _peer(self, name: str) -> Peer:
        return Peer(name=name, zone=self.processes[name].spec.zone)

    def _identify(self, local_address: str, remote_address: str) -> Peer:
        """Return the control node whose socket has these addresses."""
        inode = inode_between(local_address, remote_address)
        holder = holder_of(inode, self.pids(Role.CONTROL))
        for process in self.of_role(Role.CONTROL):
            if process.pid == holder:
                return self._peer(process.spec.name)
        return Peer(name="", zone="")
