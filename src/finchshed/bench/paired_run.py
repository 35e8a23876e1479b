"""The load of the paired measurement of latency: sets of calls, one to each way.

A set sends one call to each way, one right after the other; which way goes first changes from set
to set, and sets arrive as a Poisson process, so whatever else the machine does falls on all alike.
Owns the histograms of what the calls took; relies on clients that are connected.
"""

import asyncio
import random
import time
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from finchshed.bench.daemon_system import SERVICE
from finchshed.bench.paired_results import Percentiles
from finchshed.common.context import HEADER_SERVICE
from finchshed.daemon.backend.client import BackendAnswer, BackendRequest, BackendResult
from finchshed.daemon.backend.http_client import HttpBackend

DIRECT, THROUGH, RELAYED = range(3)

BODY_BYTES = 100
"""Size of an answer."""

CALL_TIMEOUT_SECONDS = 10.0
"""As long as the deadline of the service: a call that takes longer counts as failed."""

MAX_ANSWER_BYTES = 1 << 20
MAX_MICROSECONDS = 60_000_000
"""Largest value of a histogram; a call ends sooner by its time-out."""

SIGNIFICANT_DIGITS = 3
"""Precision of a histogram, in decimal digits."""

PERCENTILES = (50.0, 99.0, 99.9)
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
            if not is_whole(result):
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


def bench_request() -> BackendRequest:
    """Return the request that all calls send."""
    return BackendRequest(
        method="GET",
        path="/",
        headers=((HEADER_SERVICE, SERVICE),),
        body=b"",
        timeout_seconds=CALL_TIMEOUT_SECONDS,
        max_answer_bytes=MAX_ANSWER_BYTES,
    )


def is_whole(result: BackendResult) -> bool:
    """Whether a call got the back end's whole answer."""
    return (
        isinstance(result, BackendAnswer)
        and result.status == 200
        and len(result.body) == BODY_BYTES
    )


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


def _percentiles(histogram: HdrHistogram) -> Percentiles:
    values = [
        round(histogram.get_value_at_percentile(percentile) / 1000, 3) for percentile in PERCENTILES
    ]
    return Percentiles(*values)
