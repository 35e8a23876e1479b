"""What a daemon costs, as slopes: by rate of calls, calls in flight, and peers it is linked to.

One quantity is varied at a time, at four points or more, and a line is fitted to the points; the
residual says how far the line can be trusted. The figures go into docs/CAPACITY.md.
"""

import asyncio
import random
from collections.abc import Sequence
from pathlib import Path

import msgspec
import uvloop

from finchshed.bench.call_load import CallLoad
from finchshed.bench.daemon_system import (
    REGION,
    SERVICE,
    ZONE,
    DaemonSystem,
    MeasuredProcess,
)
from finchshed.bench.hollow_peers import HollowPeers
from finchshed.bench.linear_fit import Fit, fit, table_of
from finchshed.bench.process_usage import (
    MachineLoad,
    MachineMeter,
    processor_seconds,
    resident_bytes,
)
from finchshed.cli.exit_codes import ExitCode

RATES = (50.0, 100.0, 200.0, 400.0, 800.0)
IN_FLIGHT_DELAYS = (0.1, 0.5, 1.0, 2.0)
IN_FLIGHT_RATE = 100.0
PEERS = (10, 100, 300, 600)
SETTLE_SECONDS = 2.0
CONNECTIONS = 1024
LINKING_CALLS_PER_PEER = 6
LINKING_RATE = 600.0
MIB = 1 << 20


class SlopePoint(msgspec.Struct, frozen=True, tag="daemon_slope_point"):
    """One point of a sweep.

    Attributes
    ----------
    varied, value
        Quantity that was set, and to what.
    core_share
        Share of a core the process used.
    resident_bytes
        Its memory at the end of the point.
    """

    process: str
    varied: str
    value: float
    rate: float
    failed: int
    core_share: float
    resident_bytes: int
    control_bytes_per_second: float
    link_bytes_per_second: float
    machine: MachineLoad


async def sweep_rates(seconds: float, seed: int) -> list[SlopePoint]:
    """Vary the rate of calls through an edge and a daemon beside a back end."""
    points: list[SlopePoint] = []
    async with DaemonSystem() as system:
        for rate in RATES:
            points += await _calls_point(system, ("rate", rate), rate, seconds, seed)
    return points


async def sweep_in_flight(seconds: float, seed: int) -> list[SlopePoint]:
    """Vary the calls in flight: the back end's time, at one rate of calls."""
    points: list[SlopePoint] = []
    for delay in IN_FLIGHT_DELAYS:
        flags = {"max-connections": str(CONNECTIONS)}
        async with DaemonSystem(backend_seconds=delay, slots=CONNECTIONS, flags=flags) as system:
            in_flight = delay * IN_FLIGHT_RATE
            varied = ("in_flight", in_flight)
            points += await _calls_point(system, varied, IN_FLIGHT_RATE, delay + seconds, seed)
    return points


async def sweep_peers(seconds: float, seed: int) -> list[SlopePoint]:
    """Vary the peers an idle edge is linked to; 0 calls while it is measured."""
    points = []
    for count in PEERS:
        peers = HollowPeers(count, SERVICE, REGION, ZONE)
        await peers.start()
        try:
            async with DaemonSystem(backends=1, peers=peers.endpoints) as system:
                points.append(await _peers_point(system, peers, count, seconds, seed))
        finally:
            peers.stop()
    return points


async def _calls_point(
    system: DaemonSystem, varied: tuple[str, float], rate: float, seconds: float, seed: int
) -> list[SlopePoint]:
    edge = system.edge
    assert edge is not None
    load = CallLoad(edge.http_address, CONNECTIONS, random.Random(seed))
    await load.run(rate, SETTLE_SECONDS)
    measured = [edge, *system.daemons]
    meter = MachineMeter()
    before = [processor_seconds(process.pid) for process in measured]
    control_before = system.control.traffic()
    failed_before = load.failed
    await load.run(rate, seconds)
    after = [processor_seconds(process.pid) for process in measured]
    resident = [resident_bytes(process.pid) for process in measured]
    control = (system.control.traffic() - control_before) / seconds / len(measured)
    failed = load.failed - failed_before
    await load.finish()
    return [
        SlopePoint(
            process="edge" if process is edge else "daemon",
            varied=varied[0],
            value=varied[1],
            rate=rate,
            failed=failed,
            core_share=(used_after - used_before) / seconds,
            resident_bytes=held,
            control_bytes_per_second=control,
            link_bytes_per_second=0.0,
            machine=meter.load(),
        )
        for process, used_before, used_after, held in zip(
            measured, before, after, resident, strict=True
        )
    ]


async def _peers_point(
    system: DaemonSystem, peers: HollowPeers, count: int, seconds: float, seed: int
) -> SlopePoint:
    edge = system.edge
    assert edge is not None
    await _link_all(edge, peers, count, seed)
    await asyncio.sleep(SETTLE_SECONDS)
    meter = MachineMeter()
    before = processor_seconds(edge.pid)
    control, links = system.control.traffic(), peers.traffic()
    linked = peers.links
    await asyncio.sleep(seconds)
    return SlopePoint(
        process="edge",
        varied="peers",
        value=float(linked),
        rate=0.0,
        failed=0,
        core_share=(processor_seconds(edge.pid) - before) / seconds,
        resident_bytes=resident_bytes(edge.pid),
        control_bytes_per_second=(system.control.traffic() - control) / seconds / 2,
        link_bytes_per_second=(peers.traffic() - links) / seconds,
        machine=meter.load(),
    )


async def _link_all(edge: MeasuredProcess, peers: HollowPeers, count: int, seed: int) -> None:
    """Send calls until the edge is linked to (nearly) all peers."""
    peers.delay_seconds = 0.2
    load = CallLoad(edge.http_address, CONNECTIONS, random.Random(seed))
    for _ in range(LINKING_CALLS_PER_PEER):
        await load.run(LINKING_RATE, max(1.0, count / LINKING_RATE))
        if peers.links >= count:
            break
    await load.finish()


def fits_of(points: Sequence[SlopePoint]) -> list[Fit]:
    """Return the lines: microseconds of processor a second, and KiB, by what was varied."""
    fits = []
    for varied in ("rate", "in_flight", "peers"):
        for process in ("edge", "daemon"):
            held = [point for point in points if (point.varied, point.process) == (varied, process)]
            if len(held) < 3:
                continue
            terms = {
                "constant": [1.0 for _ in held],
                varied: [point.value for point in held],
            }
            processor = [1e6 * point.core_share for point in held]
            memory = [point.resident_bytes / 1024 for point in held]
            fits.append(fit(f"{process}, processor us/s by {varied}", terms, processor))
            fits.append(fit(f"{process}, memory KiB by {varied}", terms, memory))
    linked = [point for point in points if point.varied == "peers"]
    if len(linked) > 2:
        terms = {
            "constant": [1.0 for _ in linked],
            "peers": [point.value for point in linked],
        }
        traffic = [point.link_bytes_per_second for point in linked]
        fits.append(fit("edge, link bytes/s by peers, idle", terms, traffic))
    return fits


def slopes(seconds: float = 8.0, seed: int = 1, out: str = "") -> int:
    """Measure what a daemon costs by rate, calls in flight and peers, and fit lines.

    Parameters
    ----------
    seconds
        Length of each point.
    seed
        Seed of the arrivals.
    out
        File that points and fits are added to as JSON lines, or empty.
    """

    async def run() -> list[SlopePoint]:
        points = await sweep_rates(seconds, seed)
        points += await sweep_in_flight(seconds, seed)
        return points + await sweep_peers(seconds, seed)

    points = uvloop.run(run())
    fits = fits_of(points)
    print("\n".join(_line(point) for point in points))
    print(table_of(fits))
    if out:
        with Path(out).open("ab") as file:
            file.writelines(msgspec.json.encode(item) + b"\n" for item in [*points, *fits])
    return ExitCode.OK


def _line(point: SlopePoint) -> str:
    return (
        f"{point.process:7}{point.varied:>10} {point.value:7.0f}"
        f"  core {100 * point.core_share:6.2f}%"
        f"  memory {point.resident_bytes / MIB:6.1f} MiB  failed {point.failed}"
        f"  control {point.control_bytes_per_second:6.0f} B/s"
        f"  links {point.link_bytes_per_second:6.0f} B/s"
        f"  busy cores {point.machine.busy_cores:.1f}/{point.machine.cores}"
    )
