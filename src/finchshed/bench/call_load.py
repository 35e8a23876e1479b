"""A steady load of calls on one HTTP address, for measurements."""

import asyncio
import random
import time

from finchshed.bench.daemon_system import SERVICE
from finchshed.common.context import HEADER_SERVICE
from finchshed.daemon.backend.client import BackendAnswer, BackendRequest, BackendResult
from finchshed.daemon.backend.http_client import HttpBackend

CALL_TIMEOUT_SECONDS = 10.0
MAX_ANSWER_BYTES = 1 << 20


def bench_request() -> BackendRequest:
    """Return the request that all measurements send."""
    return BackendRequest(
        method="GET",
        path="/",
        headers=((HEADER_SERVICE, SERVICE),),
        body=b"",
        timeout_seconds=CALL_TIMEOUT_SECONDS,
        max_answer_bytes=MAX_ANSWER_BYTES,
    )


class CallLoad:
    """Sends calls as a Poisson process and counts their ends."""

    def __init__(self, address: str, max_connections: int, rng: random.Random) -> None:
        self._client = HttpBackend(address, max_connections, CALL_TIMEOUT_SECONDS)
        self._rng = rng
        self.answered = 0
        self.failed = 0
        self.in_flight = 0

    async def run(self, rate: float, seconds: float) -> None:
        """Send calls for ``seconds``; return without waiting for the last ones."""
        start = time.perf_counter()
        due = start
        while due < start + seconds:
            due += self._rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            self.in_flight += 1
            self._client.send(bench_request(), self._on_result)

    async def finish(self) -> None:
        """Wait for the last answers and close."""
        for _ in range(int(CALL_TIMEOUT_SECONDS / 0.05)):
            if not self.in_flight:
                break
            await asyncio.sleep(0.05)
        await self._client.close()

    def _on_result(self, result: BackendResult) -> None:
        self.in_flight -= 1
        if isinstance(result, BackendAnswer) and result.status == 200:
            self.answered += 1
        else:
            self.failed += 1
