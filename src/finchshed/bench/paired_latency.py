"""Latency the whole path adds to a call, measured in pairs.

One caller sends each request three times: directly to the back end, through the path (edge daemon,
JSON lines, daemon beside the back end, back end), and through two processes that only pass bytes,
which shows the part that no work on the daemons can take away. The calls of a set follow one
another at once, which of them goes first changes, and sets arrive as a Poisson process, so whatever
else the machine does falls on all alike. Percentiles of each way and of the differences within sets
are told: the former is what a caller sees, the latter what the path does to a call.
"""

import asyncio
import random
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

from finchshed.bench.call_load import bench_request
from finchshed.bench.daemon_system import DaemonSystem, MeasuredProcess, MeasurementError
from finchshed.bench.keys import BenchKeys
from finchshed.bench.paired_results import PairedResult, Percentiles, table
from finchshed.bench.process_usage import MachineLoad, MachineMeter, processor_seconds
from finchshed.cli.exit_codes import ExitCode
from finchshed.daemon.backend.client import BackendAnswer, BackendResult
from finchshed.daemon.backend.http_client import HttpBackend

DIRECT, THROUGH, RELAYED = range(3)
RELAYS = 2

DEFAULT_RATES = (50.0, 100.0, 200.0, 400.0)
DEFAULT_SECONDS = 15.0
WARM_UP_SECONDS = 2.0
BODY_BYTES = 100
MAX_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 99.0, 99.9)
CALL_TIMEOUT_SECONDS = 10.0
CALLER_CONNECTIONS = 64
MICROSECONDS = 1e6


class PairedRun:
    """Sends sets of calls at one rate and keeps what they took.

    Parameters
    ----------
    ways
        Clients of the ways: direct, through the path, relayed.
    rng
        Source of the arrivals.
    """

    def __init__(self, ways: Sequence[HttpBackend], rng: random.Random) -> None:
        self._ways = ways
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._histograms = [_histogram() for _ in ways]
        self._differences = _histogram()
        self._open = 0
        self._all_ended: asyncio.Event | None = None
        self.pairs = 0
        self.failed = 0

    async def run(self, rate: float, seconds: float) -> None:
        """Send sets for ``seconds`` and wait for their answers."""
        start = time.perf_counter()
        due = start
        number = 0
        while due < start + seconds:
            due += self._rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            self._open += 1
            self._send_next(number % len(self._ways), [None] * len(self._ways))
            number += 1
        if self._open:
            self._all_ended = asyncio.Event()
            await self._all_ended.wait()

    def percentiles(self) -> list[Percentiles]:
        """Return those of each way, then those of the differences."""
        return [_percentiles(held) for held in (*self._histograms, self._differences)]

    def _send_next(self, way: int, took: list[float | None]) -> None:
        started = time.perf_counter()

        def on_result(result: BackendResult) -> None:
            if not (isinstance(result, BackendAnswer) and _is_whole(result)):
                self._end(None)
                return
            took[way] = time.perf_counter() - started
            following = (way + 1) % len(self._ways)
            if took[following] is None:
                self._loop.call_soon(self._send_next, following, took)
            else:
                self._end([seconds or 0.0 for seconds in took])

        self._ways[way].send(bench_request(), on_result)

    def _end(self, took: Sequence[float] | None) -> None:
        if took is None:
            self.failed += 1
        else:
            self.pairs += 1
            for histogram, seconds in zip(self._histograms, took, strict=True):
                histogram.record_value(round(seconds * MICROSECONDS))
            difference = took[THROUGH] - took[DIRECT]
            self._differences.record_value(max(0, round(difference * MICROSECONDS)))
        self._open -= 1
        if self._open == 0 and self._all_ended is not None:
            self._all_ended.set()


async def measure(
    rates: Sequence[float],
    seconds: float,
    seed: int,
    profile: str = "",
    keys: BenchKeys | None = None,
) -> list[PairedResult]:
    """Measure each rate on one running system; write profiles of the daemons if told where.

    With ``keys`` the daemons speak TLS.
    """
    wrapper = None
    if profile:

        def wrapper(name: str, arguments: list[str]) -> list[str]:
            out = str(Path(profile) / f"{name}.prof")
            return [sys.executable, "-m", "cProfile", "-o", out, *arguments]

    results = []
    async with DaemonSystem(
        body_bytes=BODY_BYTES, relays=RELAYS, wrapper=wrapper, keys=keys
    ) as system:
        edge, daemon = system.edge, system.daemons[0]
        assert edge is not None
        ends = (system.backend_processes[0], edge, system.relay_processes[-1])
        ways = [_client(end) for end in ends]
        await _await_ready(ways[THROUGH])
        await PairedRun(ways, random.Random(seed)).run(rates[0], WARM_UP_SECONDS)
        for rate in rates:
            run = PairedRun(ways, random.Random(seed))
            usage = await _run_measured(run, rate, seconds, (edge, daemon))
            results.append(_result(run, rate, seconds, seed, usage))
        for way in ways:
            await way.close()
    return results


class _Usage(msgspec.Struct, frozen=True):
    """Processor seconds of the edge and of the daemon beside the back end during a run."""

    edge: float
    daemon: float
    machine: MachineLoad


async def _run_measured(
    run: PairedRun, rate: float, seconds: float, daemons: tuple[MeasuredProcess, MeasuredProcess]
) -> _Usage:
    meter = MachineMeter()
    before = [processor_seconds(daemon.pid) for daemon in daemons]
    await run.run(rate, seconds)
    after = [processor_seconds(daemon.pid) for daemon in daemons]
    return _Usage(after[0] - before[0], after[1] - before[1], meter.load())


def _result(run: PairedRun, rate: float, seconds: float, seed: int, usage: _Usage) -> PairedResult:
    direct, through, relayed, paired = run.percentiles()
    calls = max(1, run.pairs + run.failed)
    return PairedResult(
        rate=rate,
        seconds=seconds,
        seed=seed,
        pairs=run.pairs,
        failed=run.failed,
        direct=direct,
        through=through,
        relayed=relayed,
        added=through.minus(direct),
        added_by_relays=relayed.minus(direct),
        paired=paired,
        edge_microseconds=round(usage.edge / calls * MICROSECONDS, 1),
        daemon_microseconds=round(usage.daemon / calls * MICROSECONDS, 1),
        machine=usage.machine,
    )


def latency(
    rates: str = "",
    seconds: float = DEFAULT_SECONDS,
    seed: int = 1,
    out: str = "",
    profile: str = "",
    *,
    tls: bool = False,
) -> int:
    """Measure the latency that the path adds to a call, in pairs, at several rates.

    Parameters
    ----------
    rates
        Pairs a second, separated by commas.
    seconds
        Length of the run at each rate.
    seed
        Seed of the arrivals.
    out
        File that one JSON line for each rate is added to, or empty.
    profile
        Folder for cProfile's files of the daemons, or empty; profiled figures don't count.
    tls
        Whether the daemons speak mutual TLS, with keys made for the run.
    """
    chosen = [float(rate) for rate in str(rates).strip("()").split(",") if rate] or DEFAULT_RATES
    with tempfile.TemporaryDirectory() as folder:
        keys = BenchKeys(Path(folder)) if tls else None
        results = uvloop.run(measure(chosen, float(seconds), int(seed), profile, keys))
    print("\n".join(table(results)))
    if out:
        with Path(out).open("ab") as file:
            file.writelines(msgspec.json.encode(result) + b"\n" for result in results)
    return ExitCode.OK


def _is_whole(answer: BackendAnswer) -> bool:
    return answer.status == 200 and len(answer.body) == BODY_BYTES


def _client(measured: MeasuredProcess) -> HttpBackend:
    return HttpBackend(measured.http_address, CALLER_CONNECTIONS, CALL_TIMEOUT_SECONDS)


async def _await_ready(client: HttpBackend) -> None:
    """Wait until calls are answered: every daemon holds the configuration."""
    for _ in range(500):
        waiter: asyncio.Future[BackendResult] = asyncio.get_running_loop().create_future()
        client.send(bench_request(), waiter.set_result)
        result = await waiter
        if isinstance(result, BackendAnswer) and _is_whole(result):
            return
        await asyncio.sleep(0.02)
    raise MeasurementError("calls through the daemons are not answered")


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


def _percentiles(histogram: HdrHistogram) -> Percentiles:
    values = [
        round(histogram.get_value_at_percentile(percentile) / 1000, 3) for percentile in PERCENTILES
    ]
    return Percentiles(*values)
