"""Measures what control costs as the size of a run varies, one thing at a time."""

import asyncio
import itertools
import threading
import time
from collections.abc import Awaitable, Callable, Collection, Iterator, Mapping
from typing import TypeAlias

import msgspec

from finchshed.configuration.difference import Difference
from finchshed.configuration.resources import Resource, ResourceKey, Route, Service, key_of
from finchshed.ctl.changes import read_in_force, submit
from finchshed.ctl.client import OperatorClient
from finchshed.fleet.network import Port
from finchshed.fleet.processes import Role
from finchshed.scale.cluster import Cluster
from finchshed.scale.layout import (
    CONTROL_ZONES,
    ScaleSize,
    control_host,
    hollow_endpoints,
    places,
)
from finchshed.scale.ledger_load import LedgerLoad
from finchshed.scale.measurement import Histories
from finchshed.scale.messages import DaemonReport
from finchshed.scale.plan import OPERATOR_TOKEN, control_name
from finchshed.scale.slope_points import ControlPoint, SlopePoint
from finchshed.scale.usage import (
    ProcessSample,
    busy_share,
    sample_machine,
    usage_between,
)

Samples: TypeAlias = Mapping[Role, Mapping[int, ProcessSample]]

SETTLE_SECONDS = 2.0
MOVE_SECONDS = 15.0
DAEMON_STEPS = (100, 300, 600, 1_100)
RATE_STEPS = (0.0, 1.0, 2.0, 4.0, 8.0)
SPARE_ENDPOINT_STEPS = (500, 1_500, 3_000, 5_000)
SPARE_SERVICE_STEPS = (26, 52, 104, 208)
LEDGER_STEPS = (50.0, 100.0, 200.0, 400.0, 800.0)
RESTART_STEPS = (0.0, 5.0, 10.0, 20.0)
BASE_RATE = 2.0
CLIENT_TIMEOUT_SECONDS = 30.0
SPARE_PORT = 30_000


class Sweeps:
    """Runs the points of all sweeps on one cluster.

    Parameters
    ----------
    seconds
        Length of each point.
    """

    def __init__(self, cluster: Cluster, seconds: float) -> None:
        self._cluster = cluster
        self._seconds = seconds
        self._histories = Histories()
        self._names = cluster.hollow_names()
        self._restarted = itertools.cycle(self._names)
        self._services = cluster.size.services
        self._resources = 0
        self._configuration_bytes = 0
        self.all: tuple[Callable[[], Awaitable[list[SlopePoint]]], ...] = (
            self.daemons,
            self.rates,
            self.restarts,
            self.ledger,
            self.spare_endpoints,
            self.spare_services,
            self.one_hub,
        )

    async def daemons(self) -> list[SlopePoint]:
        """Vary the daemons, starting more and more."""
        points = []
        await self._note_size()
        steps = [step for step in DAEMON_STEPS if step < len(self._names)]
        for step in (*steps, len(self._names)):
            self._cluster.workers.start_daemons(self._names[:step])
            await self._wait_in_force(self._names[:step])
            points.append(await self._point("daemons", BASE_RATE))
        return points

    async def rates(self) -> list[SlopePoint]:
        """Vary the rate of changes."""
        return [await self._point("rate", rate) for rate in RATE_STEPS]

    async def restarts(self) -> list[SlopePoint]:
        """Vary the daemons restarted a second."""
        return [await self._point("restarts", BASE_RATE, rate) for rate in RESTART_STEPS]

    async def ledger(self) -> list[SlopePoint]:
        """Vary requests to the ledger."""
        prefix = self._cluster.plan.prefix
        addresses = tuple(
            f"{control_host(prefix, zone)}:{Port.DISTRIBUTION.value}" for zone in CONTROL_ZONES
        )
        load = LedgerLoad(addresses, self._cluster.plan.seed)
        await load.start()
        try:
            return [await self._ledger_point(load, rate) for rate in LEDGER_STEPS]
        finally:
            await load.stop()

    async def spare_endpoints(self) -> list[SlopePoint]:
        """Vary the endpoints declared, with no daemons to the further ones."""
        return await self._grown("endpoints", SPARE_ENDPOINT_STEPS, self._spare_endpoints)

    async def spare_services(self) -> list[SlopePoint]:
        """Vary the services declared."""
        return await self._grown("services", SPARE_SERVICE_STEPS, _spare_services)

    async def one_hub(self) -> list[SlopePoint]:
        """Have all daemons on the leader, the other control nodes cut off from them."""
        leader = await asyncio.to_thread(self._cluster.leader)
        prefix = self._cluster.plan.prefix
        others = tuple(
            control_host(prefix, zone) for zone in CONTROL_ZONES if control_name(zone) != leader
        )
        zones = [place.zone for place in places()]
        self._cluster.workers.cut(zones, others)
        await asyncio.sleep(MOVE_SECONDS)
        points = [await self._point("one hub", rate) for rate in RATE_STEPS]
        self._cluster.workers.cut(zones, ())
        await asyncio.sleep(MOVE_SECONDS)
        return points

    async def _grown(
        self, sweep: str, steps: tuple[int, ...], make: Callable[[int], tuple[Resource, ...]]
    ) -> list[SlopePoint]:
        points = []
        added: tuple[Resource, ...] = ()
        for step in steps:
            added = make(step)
            await self._apply(added, ())
            points.append(await self._point(sweep, BASE_RATE))
        await self._apply((), tuple(key_of(resource) for resource in added))
        return points

    def _spare_endpoints(self, count: int) -> tuple[Resource, ...]:
        size = ScaleSize(daemons=count, services=self._cluster.size.services)
        prefix = self._cluster.plan.prefix
        return tuple(
            msgspec.structs.replace(
                endpoint,
                name=f"spare-{number:05d}",
                address=f"{endpoint.address.rpartition(':')[0]}:{SPARE_PORT + number}",
            )
            for number, endpoint in enumerate(hollow_endpoints(size, prefix))
        )

    async def _apply(self, puts: tuple[Resource, ...], deletes: tuple[ResourceKey, ...]) -> None:
        await asyncio.to_thread(self._submit, Difference(puts, deletes))
        await self._note_size()
        await self._wait_in_force(list(self._histories.latest))

    def _submit(self, change: Difference) -> None:
        client = self._client()
        try:
            revision = read_in_force(client).revision
            submit(client, f"grow-{revision}", revision, change)
        finally:
            client.close()

    async def _note_size(self) -> None:
        """Read how large the configuration is now."""
        found = await asyncio.to_thread(self._read_resources)
        self._services = sum(isinstance(item, Service) for item in found)
        self._resources = len(found)
        self._configuration_bytes = len(msgspec.json.encode(found))

    def _read_resources(self) -> tuple[Resource, ...]:
        client = self._client()
        try:
            return tuple(read_in_force(client).resources.values())
        finally:
            client.close()

    async def _wait_in_force(self, names: Collection[str]) -> None:
        revision = await asyncio.to_thread(self._cluster.changes.read_revision)
        deadline = time.monotonic() + MOVE_SECONDS
        while time.monotonic() < deadline:
            self._histories.add(await self._cluster.workers.collect())
            if not self._histories.behind(revision, names):
                return
            await asyncio.sleep(SETTLE_SECONDS / 4)

    async def _ledger_point(self, load: LedgerLoad, rate: float) -> SlopePoint:
        running = asyncio.create_task(self._point("ledger", 0.0))
        await asyncio.sleep(SETTLE_SECONDS / 2)
        done = await load.run(rate, self._seconds + 2 * SETTLE_SECONDS)
        point = await running
        return msgspec.structs.replace(point, ledger=done.rate, ledger_begin=done.begin)

    async def _point(self, sweep: str, rate: float, restarts: float = 0.0) -> SlopePoint:
        await asyncio.sleep(SETTLE_SECONDS)
        await asyncio.to_thread(self._cluster.changes.read_revision)
        leader = await asyncio.to_thread(self._cluster.leader)
        before_reports = await self._reports()
        before, machine = self._cluster.sample(), sample_machine()
        started = time.monotonic()
        accepted, _ = await asyncio.gather(self._change(rate), self._restart(restarts))
        seconds = time.monotonic() - started
        after, machine_after = self._cluster.sample(), sample_machine()
        reports = await self._reports()
        running = [report for report in reports.values() if report.is_running]
        return SlopePoint(
            sweep=sweep,
            seconds=seconds,
            daemons=len(running),
            services=self._services,
            rate=accepted / seconds,
            restarts=restarts,
            resources=self._resources,
            configuration_bytes=self._configuration_bytes,
            control=tuple(self._control_points(before, after, seconds, leader, running)),
            hollow=usage_between(before[Role.HOLLOW], after[Role.HOLLOW], seconds),
            bytes_per_second=_bytes_per_second(before_reports, reports, seconds),
            real=usage_between(before[Role.DAEMON], after[Role.DAEMON], seconds),
            busy_share=busy_share(machine, machine_after),
        )

    async def _reports(self) -> dict[str, DaemonReport]:
        self._histories.add(await self._cluster.workers.collect())
        return self._histories.latest

    async def _change(self, rate: float) -> int:
        """Change at ``rate`` for the length of a point; return how many were accepted."""
        if rate == 0.0:
            await asyncio.sleep(self._seconds)
            return 0
        stopped = threading.Event()
        count = round(self._seconds * rate)
        result = await self._cluster.changes.run(rate, count, stopped)
        return len(result.accepted)

    async def _restart(self, rate: float) -> None:
        for _ in range(round(self._seconds * rate)):
            self._cluster.workers.restart_daemons([next(self._restarted)])
            await asyncio.sleep(1.0 / rate)

    def _control_points(
        self,
        before: Samples,
        after: Samples,
        seconds: float,
        leader: str,
        running: Collection[DaemonReport],
    ) -> Iterator[ControlPoint]:
        hosts = [report.control.rpartition(":")[0] for report in running]
        for process in self._cluster.of_role(Role.CONTROL):
            name, zone = process.spec.name, process.spec.zone
            samples = before[Role.CONTROL], after[Role.CONTROL]
            usage = usage_between({process.pid: samples[0][process.pid]}, samples[1], seconds)
            yield ControlPoint(
                node=name,
                is_leader=name == leader,
                is_standby=zone == CONTROL_ZONES[-1],
                subscribers=hosts.count(control_host(self._cluster.plan.prefix, zone)),
                core_share=usage.mean_core_share,
                resident_bytes=usage.most_resident_bytes,
            )

    def _client(self) -> OperatorClient:
        return OperatorClient(
            self._cluster.plan.rpc_addresses, OPERATOR_TOKEN, CLIENT_TIMEOUT_SECONDS
        )


def _spare_services(count: int) -> tuple[Resource, ...]:
    routes = (Route("/"), Route("/bulk"))
    return tuple(Service(f"spare-{number:03d}", routes) for number in range(count))


def _bytes_per_second(
    before: Mapping[str, DaemonReport], after: Mapping[str, DaemonReport], seconds: float
) -> float:
    """Return the mean over daemons that ran through."""
    rates = [
        (report.bytes_received + report.bytes_sent - old.bytes_received - old.bytes_sent) / seconds
        for name, report in after.items()
        if report.is_running
        and (old := before.get(name)) is not None
        and old.started_at == report.started_at
    ]
    return sum(rates) / len(rates) if rates else 0.0
