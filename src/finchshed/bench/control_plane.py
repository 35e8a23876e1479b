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
from finchshed.bench.control_load import ANSWER, measure_load, operate
from finchshed.bench.control_report import (
    ControlPlaneReport,
    LoadPoint,
    Point,
    Series,
    fit,
    report_lines,
)
from finchshed.bench.process_usage import MachineMeter, resident_bytes
from finchshed.cli.exit_codes import ExitCode
from finchshed.configuration.changes import Accepted
from finchshed.configuration.difference import Difference
from finchshed.configuration.resources import Endpoint, Policy, Resource, Service
from finchshed.control.state.commands import BeginRequest, CompleteRequest, LogEntry, encode_entry
from finchshed.control.state.machine import ControlStateMachine
from finchshed.ctl.changes import read_in_force, submit
from finchshed.ctl.client import OperatorClient
from finchshed.ledger.keys import new_key

MeasuredT = TypeVar("MeasuredT")

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
        points = await measure_load(main.nodes, nodes)
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
    return await measure_load(group.nodes, (leader, follower))


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
            await asyncio.gather(*(operate(user, key, [], []) for key in batch))
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
