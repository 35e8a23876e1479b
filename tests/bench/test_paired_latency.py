import asyncio
import random
from collections.abc import Callable

from finchshed.bench.daemon_system import DaemonSystem
from finchshed.bench.paired_latency import measure
from finchshed.bench.paired_run import BODY_BYTES, PairedRun
from finchshed.bench.process_usage import MachineMeter, processor_seconds
from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendBroken,
    BackendRequest,
    BackendResult,
    BrokenCause,
)


class _Way:
    """A client whose every answer takes ``seconds``."""

    def __init__(self, seconds: float, result: BackendResult) -> None:
        self.seconds = seconds
        self.result = result
        self.sent = 0

    def send(self, request: BackendRequest, on_result: Callable[[BackendResult], None]) -> None:
        self.sent += 1
        asyncio.get_running_loop().call_later(self.seconds, on_result, self.result)


WHOLE = BackendAnswer(200, (), bytes(BODY_BYTES), ran=True, draining=False)


async def _run(*ways: _Way) -> PairedRun:
    run = PairedRun(ways, random.Random(1))  # type: ignore[arg-type]
    await run.run(rate=400.0, seconds=0.2)
    return run


async def test_each_pair_goes_both_ways_and_the_slower_way_shows() -> None:
    direct, through, relayed = _Way(0.002, WHOLE), _Way(0.05, WHOLE), _Way(0.02, WHOLE)
    run = await _run(direct, through, relayed)
    told_direct, told_through, told_relayed, paired = run.percentiles()
    assert run.pairs == direct.sent == through.sent == relayed.sent > 20
    assert told_direct.p50 < told_relayed.p50 < told_through.p50
    assert paired.p50 > 0.0


async def test_a_cut_answer_counts_as_failed_and_in_no_percentile() -> None:
    cut = BackendAnswer(200, (), bytes(BODY_BYTES - 1), ran=True, draining=False)
    for result in (cut, BackendBroken("cut", BrokenCause.RESET)):
        run = await _run(_Way(0.001, WHOLE), _Way(0.001, result), _Way(0.001, WHOLE))
        assert run.pairs == 0
        assert run.failed > 20
        assert run.percentiles()[1].p50 == 0.0


async def test_real_daemons_answer_every_pair() -> None:
    results = await measure([40.0, 80.0], seconds=1.0, seed=3)
    assert [result.failed for result in results] == [0, 0]
    assert all(result.pairs > 20 for result in results)
    assert all(result.edge_microseconds > 0.0 for result in results)
    assert all(result.through.p50 > result.direct.p50 for result in results)
    assert all(result.added_by_relays.p50 > 0.0 for result in results)


async def test_usage_of_a_process_is_told() -> None:
    meter = MachineMeter()
    async with DaemonSystem() as system:
        pid = system.daemon.pid
        assert processor_seconds(pid) > 0.0
    assert meter.load().cores >= 1
