"""The phases of a scale run: what happens in each, and what is measured."""

import asyncio
import signal
import threading
import time
from collections.abc import Awaitable, Callable, Collection

import msgspec

from finchshed.fleet.processes import FleetProcess, Role
from finchshed.scale.calls import Calls
from finchshed.scale.changes import ChangeRun
from finchshed.scale.cluster import Cluster
from finchshed.scale.layout import CONTROL_ZONES, VOTERS, ZONES_OF_REGIONS, places
from finchshed.scale.measurement import Histories, Measurement
from finchshed.scale.plan import control_name
from finchshed.scale.results import PhaseResult

LOST_ZONE = "zone-1b"
PEERS_ONLY_ZONE = "zone-2a"
CUT_REGION = "region-3"
RESTARTED = 110
RESTART_BATCH = 10
RESTARTED_IN_CUT = 5
START_BATCH = 100
BEFORE_FAULT_SECONDS = 3.0
NO_QUORUM_CALL_SECONDS = 2.0
ALL_ZONES = tuple(place.zone for place in places())

Act = Callable[[Measurement], Awaitable[None]]


class PhaseOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Lengths and rates of the phases.

    Attributes
    ----------
    fault_seconds
        How long changes go on under each fault, and how long each cut lasts.
    rate_per_second
        Rate of changes in all phases but the compressed one.
    compressed_changes, compressed_rate_per_second
        A day's changes made in a short time.
    """

    steady_seconds: float = 20.0
    fault_seconds: float = 15.0
    rate_per_second: float = 1.0
    compressed_changes: int = 240
    compressed_rate_per_second: float = 4.0


class Phases:
    """Runs the phases on a cluster whose processes are up."""

    def __init__(self, cluster: Cluster, calls: Calls, options: PhaseOptions) -> None:
        self._cluster = cluster
        self._calls = calls
        self._options = options
        self._histories = Histories()
        self.all: tuple[Callable[[], Awaitable[PhaseResult]], ...] = (
            self.start_up,
            self.steady,
            self.compressed,
            self.rolling_restart,
            self.control_frozen,
            self.leader_killed,
            self.two_control_killed,
            self.zone_lost,
            self.zone_back,
            self.control_cut_off,
            self.region_cut,
            self.regions_cut,
        )

    async def start_up(self) -> PhaseResult:
        """Start all hollow daemons, and wait until each has the declarations in force."""
        measurement = self._measurement("start-up")
        await measurement.begin()
        names = self._cluster.hollow_names()
        for start in range(0, len(names), START_BATCH):
            self._cluster.workers.start_daemons(names[start : start + START_BATCH])
        await measurement.wait_in_force(self._cluster.changes.revision, names)
        return await measurement.end(ChangeRun())

    async def steady(self) -> PhaseResult:
        """Change at a steady rate."""
        seconds, rate = self._options.steady_seconds, self._options.rate_per_second
        return await self._phase("steady", rate, int(seconds * rate))

    async def compressed(self) -> PhaseResult:
        """Change at the compressed rate."""
        rate, count = self._options.compressed_rate_per_second, self._options.compressed_changes
        return await self._phase("compressed", rate, count)

    async def rolling_restart(self) -> PhaseResult:
        """Restart a day's worth of daemons, a few at a time, under changes."""
        names = self._cluster.hollow_names()
        step = max(1, len(names) // RESTARTED)
        chosen = names[::step][:RESTARTED]

        async def act(measurement: Measurement) -> None:
            pause = self._options.fault_seconds * RESTART_BATCH / len(chosen)
            for start in range(0, len(chosen), RESTART_BATCH):
                self._cluster.workers.restart_daemons(chosen[start : start + RESTART_BATCH])
                await asyncio.sleep(pause)
            measurement.note(f"{len(chosen)} daemons were restarted")

        return await self._phase_under("rolling restart", act)

    async def control_frozen(self) -> PhaseResult:
        """Freeze a control node that follows: it goes silent, and no connection closes."""
        leader = await asyncio.to_thread(self._cluster.leader)
        chosen = next(
            process
            for process in self._cluster.of_role(Role.CONTROL)
            if process.spec.name != leader
        )

        async def act(measurement: Measurement) -> None:
            await asyncio.sleep(BEFORE_FAULT_SECONDS)
            chosen.send_signal(signal.SIGSTOP)
            measurement.note(f"{chosen.spec.name} frozen")
            await asyncio.sleep(self._options.fault_seconds - BEFORE_FAULT_SECONDS)
            chosen.send_signal(signal.SIGCONT)
            measurement.note(f"{chosen.spec.name} goes on")

        return await self._phase_under("control frozen", act)

    async def leader_killed(self) -> PhaseResult:
        """Kill the leading control node, and start it again."""
        leader = await asyncio.to_thread(self._cluster.leader)
        return await self._control_killed("leader killed", [leader])

    async def two_control_killed(self) -> PhaseResult:
        """Kill the leader and another voter at once, and start both again."""
        leader = await asyncio.to_thread(self._cluster.leader)
        voters = [control_name(zone) for zone in CONTROL_ZONES[:VOTERS]]
        other = next(voter for voter in reversed(voters) if voter != leader)
        return await self._control_killed("two control killed", [leader, other])

    async def _control_killed(self, name: str, nodes: list[str]) -> PhaseResult:
        processes = [self._cluster.processes[node] for node in nodes]

        async def act(measurement: Measurement) -> None:
            await asyncio.sleep(BEFORE_FAULT_SECONDS)
            await self._cluster.kill(processes)
            measurement.note(f"{' and '.join(nodes)} killed")
            await asyncio.sleep(self._options.fault_seconds - BEFORE_FAULT_SECONDS)

        result = await self._phase_under(name, act)
        for process in processes:
            await self._cluster.restart(process)
        return result

    async def zone_lost(self) -> PhaseResult:
        """Kill everything in one zone, its control node too."""
        lost = self._in_zone(LOST_ZONE)

        async def act(measurement: Measurement) -> None:
            await asyncio.sleep(BEFORE_FAULT_SECONDS)
            await self._cluster.kill(lost)
            measurement.note(f"{len(lost)} processes of {LOST_ZONE} killed")
            await asyncio.sleep(self._options.fault_seconds - BEFORE_FAULT_SECONDS)

        gone = self._cluster.hollow_names([LOST_ZONE])
        return await self._phase_under("zone lost", act, unreachable=gone)

    async def zone_back(self) -> PhaseResult:
        """Start the lost zone again."""
        control = self._cluster.processes[control_name(LOST_ZONE)]
        names = self._cluster.hollow_names([LOST_ZONE])

        async def act(measurement: Measurement) -> None:
            await self._cluster.restart(control)
            await self._cluster.start_workers([LOST_ZONE])
            started = time.monotonic()
            self._cluster.workers.start_daemons(names)
            at = await measurement.wait_in_force(self._cluster.changes.revision, names)
            measurement.recovered_seconds = None if at is None else at - started
            measurement.note(f"{len(names)} daemons of {LOST_ZONE} started")

        return await self._phase_under("zone back", act)

    async def control_cut_off(self) -> PhaseResult:
        """Cut one zone's daemons off from all control nodes; other daemons stay in reach.

        Some of them restart meanwhile. Without a disk they may not take calls before the end.
        """
        names = self._cluster.hollow_names([PEERS_ONLY_ZONE])

        async def act(measurement: Measurement) -> None:
            measurement.cut_off = frozenset(names)
            await asyncio.sleep(BEFORE_FAULT_SECONDS)
            self._cluster.cut_from_control([PEERS_ONLY_ZONE])
            measurement.note(f"{PEERS_ONLY_ZONE} cut off from control")
            await asyncio.sleep(self._options.fault_seconds / 2)
            restarted = names[:RESTARTED_IN_CUT]
            self._cluster.workers.restart_daemons(restarted)
            measurement.note(f"{len(restarted)} of its daemons were restarted")
            await asyncio.sleep(self._options.fault_seconds / 2)
            measurement.served_unconfirmed = await measurement.count_serving(restarted)
            await self._heal(measurement, names)

        return await self._phase_under("peers only", act)

    async def region_cut(self) -> PhaseResult:
        """Cut one region off from the two others, then heal the cut."""
        inside = frozenset(ZONES_OF_REGIONS[CUT_REGION])
        outside = frozenset(ALL_ZONES) - inside
        names = self._cluster.hollow_names(inside)

        async def act(measurement: Measurement) -> None:
            self._cluster.cut_regions((inside, outside))
            measurement.note(f"{CUT_REGION} cut off")
            await asyncio.sleep(self._options.fault_seconds)
            await self._heal(measurement, names)

        return await self._phase_under("region cut", act, unreachable=names)

    async def regions_cut(self) -> PhaseResult:
        """Cut all regions off from each other: nobody has a quorum; then heal the cuts."""
        groups = tuple(frozenset(zones) for zones in ZONES_OF_REGIONS.values())
        measurement = self._measurement("all regions cut")
        await asyncio.to_thread(self._cluster.changes.read_revision)
        await measurement.begin()
        self._cluster.cut_regions(groups)
        measurement.note("all regions cut off from each other")
        stopped = threading.Event()
        changes = asyncio.create_task(
            self._cluster.changes.run(1.0, 1, stopped, NO_QUORUM_CALL_SECONDS)
        )
        await asyncio.sleep(self._options.fault_seconds)
        accepted_early = changes.done()
        self._cluster.heal(ALL_ZONES)
        healed_at = time.monotonic()
        measurement.note(
            "cuts healed; " + ("accepted before" if accepted_early else "none accepted")
        )
        result = await changes
        names = self._cluster.hollow_names()
        at = await measurement.wait_in_force(self._cluster.changes.revision, names)
        measurement.recovered_seconds = None if at is None else at - healed_at
        return await measurement.end(result)

    async def _heal(self, measurement: Measurement, names: Collection[str]) -> None:
        """End all cuts and take the time until ``names`` have caught up."""
        revision = self._cluster.changes.revision
        self._cluster.heal(ALL_ZONES)
        healed_at = time.monotonic()
        measurement.note("cut healed")
        at = await measurement.wait_in_force(revision, names)
        measurement.recovered_seconds = None if at is None else max(0.0, at - healed_at)

    async def _phase_under(
        self, name: str, act: Act, unreachable: Collection[str] = ()
    ) -> PhaseResult:
        rate = self._options.rate_per_second
        return await self._phase(name, rate, None, act, unreachable)

    async def _phase(
        self,
        name: str,
        rate: float,
        count: int | None,
        act: Act | None = None,
        unreachable: Collection[str] = (),
    ) -> PhaseResult:
        """Change at ``rate`` for ``count`` changes, or for as long as ``act`` takes."""
        measurement = self._measurement(name)
        await asyncio.to_thread(self._cluster.changes.read_revision)
        await measurement.begin()
        stopped = threading.Event()
        endless = 1_000_000
        changes = asyncio.create_task(self._cluster.changes.run(rate, count or endless, stopped))
        if act is not None:
            try:
                await act(measurement)
            finally:
                stopped.set()
        return await measurement.end(await changes, unreachable)

    def _measurement(self, name: str) -> Measurement:
        return Measurement(name, self._cluster, self._histories, self._calls)

    def _in_zone(self, zone: str) -> list[FleetProcess]:
        chosen = self._cluster.of_role(Role.CONTROL, Role.HOLLOW)
        return [process for process in chosen if process.spec.zone == zone]
