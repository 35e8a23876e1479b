"""``finchshed bench control``: what the control plane costs, on real processes.

Four measurements, each at several points so that a slope and its residual can be given: the ledger
under an open load (latency, processor time of the leader), memory of ledger entries, an apply by
size of the configuration, and a restart by number of changes.
"""

import asyncio
import random
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import TypeVar

import msgspec
import numpy as np

from finchshed.bench.control_group import BenchGroup, BenchNode, GroupError, LedgerUser
from finchshed.bench.process_usage import (
    MachineLoad,
    MachineMeter,
    processor_seconds,
    resident_bytes,
)
from finchshed.cli.exit_codes import ExitCode
from finchshed.common.outcomes import Answered
from finchshed.configuration.changes import Accepted
from finchshed.configuration.difference import Difference
from finchshed.configuration.resources import Endpoint, Policy, Resource, Service
from finchshed.control.commands import BeginRequest, CompleteRequest, LogEntry, encode_entry
from finchshed.control.state_machine import ControlStateMachine
from finchshed.ctl.changes import read_in_force, submit
from finchshed.ctl.client import OperatorClient
from finchshed.distribution.messages import LedgerGranted
from finchshed.ledger.keys import new_key

MeasuredT = TypeVar("MeasuredT")

ANSWER = Answered(200, (("content-type", "application/json"),), bytes(300))
"""Answer of the size of a licence or a notice's receipt."""

LOADS_PER_SECOND = (50, 100, 200, 400, 800, 1_600)
LOAD_SECONDS = 6.0
MEMORY_KEYS = (0, 4_000, 8_000, 12_000, 16_000)
SNAPSHOT_KEYS = (5_000, 10_000, 20_000, 40_000, 80_000)
CONFIGURATION_SIZES = (100, 500, 1_000, 2_000, 4_000)
MEMORY_SETTINGS = ("snapshot_entries = 1000",)
"""So that the log in memory doesn't count as the ledger's."""

KEY_TIME = 1_800_000_000.0
APPLIES = 15
RESTART_CHANGES = (0, 500, 2_000, 5_000)
TIMEOUT_SECONDS = 30.0
ENDPOINTS_PER_SERVICE = 20


class LoadPoint(msgspec.Struct, frozen=True):
    """The ledger under one load; each operation is a begin and a complete.

    Attributes
    ----------
    leader_microseconds, follower_microseconds
        Processor time of one node for one operation, less that of an idle node.
    granted
        Operations whose begin was granted; the others were refused.
    """

    operations_per_second: float
    operations: int
    granted: int
    begin_p50_ms: float
    begin_p99_ms: float
    complete_p50_ms: float
    complete_p99_ms: float
    leader_microseconds: float
    follower_microseconds: float
    load: MachineLoad


class Point(msgspec.Struct, frozen=True):
    """One measured value at one size."""

    size: int
    value: float


class Fit(msgspec.Struct, frozen=True):
    """Least squares line; ``residual`` is the largest distance of a point from it."""

    intercept: float
    slope: float
    residual: float


class Series(msgspec.Struct, frozen=True):
    """Points and the line through them."""

    what: str
    points: tuple[Point, ...]
    fit: Fit
    load: MachineLoad


class ControlPlaneReport(msgspec.Struct, frozen=True):
    """All that was measured."""

    voters: int
    ledger: tuple[LoadPoint, ...]
    series: tuple[Series, ...]


def fit(points: Sequence[Point]) -> Fit:
    """Return the line through ``points``."""
    sizes = np.array([point.size for point in points], dtype=float)
    values = np.array([point.value for point in points], dtype=float)
    slope, intercept = np.polyfit(sizes, values, 1)
    residual = np.abs(values - (slope * sizes + intercept)).max()
    return Fit(float(intercept), float(slope), float(residual))


def control(
    out: str = "control-plane.json", voters: int = 3, folder: str = "", shards: int = 0
) -> int:
    """Measure the control plane and write the figures to OUT.

    With shards only the ledger is measured, spread over them: "leader us" is then the processor
    time of a control node that passes requests on, "follower us" that of one shard's leader.

    Parameters
    ----------
    out
        File of figures, JSON.
    voters
        Control nodes of the group.
    folder
        Where the control nodes keep their data, on the disk to measure; empty: a temporary one.
    shards
        Control groups, each of ``voters`` nodes, to spread the ledger over; 0: none.
    """
    with tempfile.TemporaryDirectory(dir=folder or None) as name:
        measuring = (
            _measure_shards(Path(name), voters, shards) if shards else _measure(Path(name), voters)
        )
        report = asyncio.run(measuring)
    Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(report)) + b"\n")
    print("\n".join(report_lines(report)))
    return ExitCode.OK


def report_lines(report: ControlPlaneReport) -> list[str]:
    """Return the figures as tables for people."""
    lines = [
        "begin+complete/s  granted  begin p50/p99 ms  complete p50/p99 ms  "
        "leader us  follower us  busy cores"
    ]
    for point in report.ledger:
        lines.append(
            f"{point.operations_per_second:>16.0f}  {point.granted}/{point.operations}"
            f"  {point.begin_p50_ms:.2f}/{point.begin_p99_ms:.2f}"
            f"  {point.complete_p50_ms:.2f}/{point.complete_p99_ms:.2f}"
            f"  {point.leader_microseconds:.0f}  {point.follower_microseconds:.0f}"
            f"  {point.load.busy_cores}/{point.load.cores}"
        )
    for series in report.series:
        values = ", ".join(f"{point.size}: {point.value:.4g}" for point in series.points)
        line = series.fit
        lines.append(
            f"{series.what}: {values}; {line.intercept:.4g} + {line.slope:.4g} a piece, "
            f"residual {line.residual:.3g}; {series.load.busy_cores} cores busy"
        )
    return lines


async def _measure(folder: Path, voters: int) -> ControlPlaneReport:
    ledger = await _in_group(folder / "ledger", voters, _ledger_points)
    series = [
        await _in_group(folder / "memory", voters, _memory, MEMORY_SETTINGS),
        _snapshots(),
        await _in_group(folder / "apply", voters, _applies),
    ]
    series.append(await _restarts(folder / "restart"))
    return ControlPlaneReport(voters, tuple(ledger), tuple(series))


async def _measure_shards(folder: Path, voters: int, count: int) -> ControlPlaneReport:
    main, *shards = (BenchGroup(folder / f"group-{n}", voters) for n in range(1 + count))
    try:
        for group in (main, *shards):
            for node in group.nodes:
                await group.start(node)
        addresses = (tuple(node.distribution for node in shard.nodes) for shard in shards)
        await main.bootstrap([Policy(ledger_shards=tuple(addresses))])
        await shards[0].bootstrap()
        nodes = await main.leader(), await shards[0].leader()
        points = await _points(main.nodes, nodes)
    finally:
        for group in (main, *shards):
            await group.close()
    return ControlPlaneReport(voters, tuple(points), ())


async def _in_group(
    folder: Path,
    voters: int,
    measure: Callable[[BenchGroup], Awaitable[MeasuredT]],
    settings: Sequence[str] = (),
) -> MeasuredT:
    group = BenchGroup(folder, voters, settings)
    try:
        for node in group.nodes:
            await group.start(node)
        await group.bootstrap()
        return await measure(group)
    finally:
        await group.close()


async def _ledger_points(group: BenchGroup) -> list[LoadPoint]:
    leader = await group.leader()
    follower = next(node for node in group.nodes if node is not leader)
    return await _points(group.nodes, (leader, follower))


async def _points(
    served: Sequence[BenchNode], measured: tuple[BenchNode, BenchNode]
) -> list[LoadPoint]:
    """Load the ledger through ``served`` nodes; count the processor time of ``measured``."""
    users = [LedgerUser(f"u{n}", node) for n, node in enumerate([*served, *served])]
    for user in users:
        await user.wait()
    await asyncio.sleep(1.0)
    idle = await _idle_share(measured[0]), await _idle_share(measured[1])
    points = []
    for rate in LOADS_PER_SECOND:
        points.append(await _ledger_point(users, rate, measured, idle))
    for user in users:
        user.close()
    return points


async def _idle_share(node: BenchNode) -> float:
    """Return the processor seconds a node takes each second without load."""
    before, started = processor_seconds(node.pid), time.monotonic()
    await asyncio.sleep(2.0)
    return (processor_seconds(node.pid) - before) / (time.monotonic() - started)


async def _ledger_point(
    users: Sequence[LedgerUser],
    rate: int,
    nodes: tuple[BenchNode, BenchNode],
    idle: tuple[float, float],
) -> LoadPoint:
    loop = asyncio.get_running_loop()
    generator = random.Random(rate)
    begins: list[float] = []
    completes: list[float] = []
    meter = MachineMeter()
    before = [processor_seconds(node.pid) for node in nodes]
    count = int(rate * LOAD_SECONDS)
    started = loop.time()
    tasks = []
    for number in range(count):
        delay = started + number / rate - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        user = users[number % len(users)]
        key = new_key(time.time(), generator)
        tasks.append(asyncio.create_task(_operate(user, key, begins, completes)))
    await asyncio.gather(*tasks)
    elapsed = loop.time() - started
    spent = [
        (processor_seconds(node.pid) - used - share * elapsed) / count * 1e6
        for node, used, share in zip(nodes, before, idle, strict=True)
    ]
    return LoadPoint(
        operations_per_second=count / elapsed,
        operations=count,
        granted=len(begins),
        begin_p50_ms=_percentile(begins, 50),
        begin_p99_ms=_percentile(begins, 99),
        complete_p50_ms=_percentile(completes, 50),
        complete_p99_ms=_percentile(completes, 99),
        leader_microseconds=round(spent[0], 1),
        follower_microseconds=round(spent[1], 1),
        load=meter.load(),
    )


async def _operate(user: LedgerUser, key: str, begins: list[float], completes: list[float]) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    granted = await user.client.begin(key, key[-12:], TIMEOUT_SECONDS)
    begun = loop.time()
    if not isinstance(granted, LedgerGranted):
        return
    begins.append(begun - started)
    if await user.client.complete(key, key[-12:], ANSWER, TIMEOUT_SECONDS):
        completes.append(loop.time() - begun)


def _percentile(seconds: Sequence[float], percent: float) -> float:
    return round(float(np.percentile(seconds, percent)) * 1e3, 3) if seconds else float("nan")


async def _memory(group: BenchGroup) -> Series:
    """Measure resident memory of a node by completed keys held."""
    leader = await group.leader()
    user = LedgerUser("u", leader)
    await user.wait()
    meter = MachineMeter()
    generator = random.Random(1)
    points = []
    held = 0
    for size in MEMORY_KEYS:
        while held < size:
            batch = [new_key(time.time(), generator) for _ in range(100)]
            await asyncio.gather(*(_operate(user, key, [], []) for key in batch))
            held += len(batch)
        points.append(Point(held, float(resident_bytes(leader.pid))))
    user.close()
    what = "resident bytes of the leader by completed keys"
    return Series(what, tuple(points), fit(points), meter.load())


def _snapshots() -> Series:
    """Measure how long the event loop is held by encoding a snapshot, by completed keys."""
    machine = ControlStateMachine()
    generator = random.Random(2)
    meter = MachineMeter()
    points = []
    index = 0
    for size in SNAPSHOT_KEYS:
        while len(machine.ledger) < size:
            key = new_key(KEY_TIME, generator)
            for command in (BeginRequest(key, "a"), CompleteRequest(key, "a", ANSWER)):
                index += 1
                machine.apply(index, encode_entry(LogEntry(KEY_TIME, command)))
        started = time.perf_counter()
        machine.snapshot()
        points.append(Point(size, (time.perf_counter() - started) * 1e3))
    what = "milliseconds that encoding a snapshot takes by completed keys"
    return Series(what, tuple(points), fit(points), meter.load())


def _resources(count: int) -> list[Resource]:
    services = [Service(name=f"s{n}") for n in range(max(1, count // ENDPOINTS_PER_SERVICE))]
    endpoints = [
        Endpoint(
            name=f"e{n}",
            service=f"s{n % len(services)}",
            region="bench",
            zone="bench",
            address=f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:7000",
            slots=8,
        )
        for n in range(count - len(services))
    ]
    return [*services, *endpoints]


async def _applies(group: BenchGroup) -> Series:
    """Measure the median time of an apply of one endpoint by resources in force."""
    client = group.client()
    meter = MachineMeter()
    points = []
    for size in CONFIGURATION_SIZES:
        resources = tuple(_resources(size))
        revision = (await asyncio.to_thread(read_in_force, client)).revision
        await _submit(client, f"size-{size}", revision, Difference(resources, ()))
        times = []
        for number in range(APPLIES):
            changed = msgspec.structs.replace(resources[-1], slots=10 + number)
            started = time.monotonic()
            await _submit(
                client, f"{size}-{number}", revision + 1 + number, Difference((changed,), ())
            )
            times.append(time.monotonic() - started)
        points.append(Point(size, float(np.median(times)) * 1e3))
    client.close()
    what = "median milliseconds of an apply by resources in force"
    return Series(what, tuple(points), fit(points), meter.load())


async def _submit(
    client: OperatorClient, identity: str, revision: int, changed: Difference
) -> None:
    result = await asyncio.to_thread(submit, client, identity, revision, changed)
    if not isinstance(result, Accepted):
        raise GroupError(f"change {identity} wasn't accepted: {result}")


async def _restarts(folder: Path) -> Series:
    """Measure seconds from the start of a node to its first read, by changes in its log.

    Snapshots are off, so the node replays every change; with them it replays
    ``snapshot_entries`` at most.
    """
    group = BenchGroup(folder, 1, ["snapshot_entries = 10000000"])
    node = group.nodes[0]
    meter = MachineMeter()
    points = []
    made = 0
    try:
        await group.start(node)
        await group.bootstrap()
        for size in RESTART_CHANGES:
            client = group.client()
            for number in range(made, size):
                changed = Difference((Service(name=f"s{number % 100}", max_sessions=number),), ())
                await _submit(client, f"c{number}", 1 + number, changed)
            made = size
            client.close()
            points.append(Point(size, await _restart(group, node, 1 + size)))
    finally:
        await group.close()
    what = "seconds from start to the first read by changes replayed"
    return Series(what, tuple(points), fit(points), meter.load())


async def _restart(group: BenchGroup, node: BenchNode, revision: int) -> float:
    await group.kill(node)
    started = time.monotonic()
    await group.start(node)
    client = group.client()
    in_force = await asyncio.to_thread(read_in_force, client)
    elapsed = time.monotonic() - started
    client.close()
    if in_force.revision != revision:
        raise GroupError(f"restarted at revision {in_force.revision}, not {revision}")
    return elapsed
