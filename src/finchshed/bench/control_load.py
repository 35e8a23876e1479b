"""An open load of begins and completes on the ledger of real control nodes."""

import asyncio
import random
import time
from collections.abc import Sequence

import numpy as np

from finchshed.bench.control_group import BenchNode, LedgerUser
from finchshed.bench.control_report import LoadPoint
from finchshed.bench.process_usage import MachineMeter, processor_seconds
from finchshed.common.outcomes import Answered
from finchshed.distribution.messages import LedgerGranted
from finchshed.ledger.keys import new_key

ANSWER = Answered(200, (("content-type", "application/json"),), bytes(300))
"""Answer of the size of a licence or a notice's receipt."""

LOADS_PER_SECOND = (50, 100, 200, 400, 800, 1_600)
LOAD_SECONDS = 6.0
TIMEOUT_SECONDS = 30.0


async def measure_load(
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
        tasks.append(asyncio.create_task(operate(user, key, begins, completes)))
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


async def operate(user: LedgerUser, key: str, begins: list[float], completes: list[float]) -> None:
    """Begin and complete ``key``; add the seconds of each step that was answered."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    granted = await user.client.ledger.begin(key, key[-12:], TIMEOUT_SECONDS)
    begun = loop.time()
    if not isinstance(granted, LedgerGranted):
        return
    begins.append(begun - started)
    if await user.client.ledger.complete(key, key[-12:], ANSWER, TIMEOUT_SECONDS):
        completes.append(loop.time() - begun)


def _percentile(seconds: Sequence[float], percent: float) -> float:
    return round(float(np.percentile(seconds, percent)) * 1e3, 3) if seconds else float("nan")
