"""``finchshed bench latency``: what the whole path adds to a call, measured in pairs.

One caller sends each request three times: directly to the back end, through the path (edge daemon,
JSON lines, daemon beside the back end, back end), and through two processes that only pass bytes,
which shows the part that no work on the daemons can take away. Percentiles of each way and of the
differences within sets are printed: the former is what a caller sees, the latter what the path does
to a call.
"""

import asyncio
import random
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import msgspec
import uvloop

from finchshed.bench.daemon_system import DaemonSystem, MeasuredProcess, MeasurementError
from finchshed.bench.keys import BenchKeys
from finchshed.bench.paired_results import PairedResult, table
from finchshed.bench.paired_run import (
    BODY_BYTES,
    CALL_TIMEOUT_SECONDS,
    MICROSECONDS,
    THROUGH,
    PairedRun,
    bench_request,
    is_whole,
)
from finchshed.bench.process_usage import MachineLoad, MachineMeter, processor_seconds
from finchshed.cli.exit_codes import ExitCode
from finchshed.daemon.backend.client import BackendResult
from finchshed.daemon.backend.http_client import HttpBackend

RELAYS = 2
"""As many processes as the path has: the edge and the daemon beside the back end."""

DEFAULT_RATES = (50.0, 100.0, 200.0, 400.0)
"""Sets a second: from the design size's mean, 53 calls a second a daemon, to eight times that."""

DEFAULT_SECONDS = 15.0
"""Length of the run at each rate; 750 sets at the least rate."""

WARM_UP_SECONDS = 2.0
"""Calls before the first rate, which aren't counted."""

CALLER_CONNECTIONS = 64
"""Of each way; more than are ever in use at the rates measured."""

READY_POLLS = 500
READY_POLL_SECONDS = 0.02
"""Both together: 10 s for the daemons to hold the configuration."""


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


async def measure(
    rates: Sequence[float],
    seconds: float,
    seed: int,
    profile: str = "",
    keys: BenchKeys | None = None,
) -> list[PairedResult]:
    """Measure each rate on one running system; write profiles of the daemons if told where.

    With ``keys`` the daemons speak TLS.

    Raises
    ------
    MeasurementError
        If the processes don't start, or calls through the daemons stay unanswered.
    """
    wrapper = None
    if profile:

        def wrapper(name: str, arguments: list[str]) -> list[str]:
            out = str(Path(profile) / f"{name}.prof")
            return [sys.executable, "-m", "cProfile", "-o", out, *arguments]

    results = []
    async with DaemonSystem(
        body_bytes=BODY_BYTES, relay_count=RELAYS, wrapper=wrapper, keys=keys
    ) as system:
        ways = [_client(end) for end in (system.backend, system.edge, system.relays[-1])]
        await _await_ready(ways[THROUGH])
        await PairedRun(ways, random.Random(seed)).run(rates[0], WARM_UP_SECONDS)
        for rate in rates:
            run = PairedRun(ways, random.Random(seed))
            usage = await _run_measured(run, rate, seconds, (system.edge, system.daemon))
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


def _client(measured: MeasuredProcess) -> HttpBackend:
    return HttpBackend(measured.http_address, CALLER_CONNECTIONS, CALL_TIMEOUT_SECONDS)


async def _await_ready(client: HttpBackend) -> None:
    """Wait until calls are answered: every daemon holds the configuration."""
    for _ in range(READY_POLLS):
        waiter: asyncio.Future[BackendResult] = asyncio.get_running_loop().create_future()
        client.send(bench_request(), waiter.set_result)
        if is_whole(await waiter):
            return
        await asyncio.sleep(READY_POLL_SECONDS)
    raise MeasurementError("calls through the daemons are not answered")
