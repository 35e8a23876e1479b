"""A drain of an idle back end is detected by polling, unless a newer answer contradicts it."""

import asyncio
from collections.abc import Callable

from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendBroken,
    BackendRequest,
    BackendResult,
    BackendUnreached,
    BrokenCause,
)
from finchshed.daemon.backend.health import (
    CHECK_TIMEOUT_SECONDS,
    IDLE_POLL_SECONDS,
    BackendHealthMonitor,
)
from tests.daemon.deployment import deployment, eventually
from tests.daemon.scripted_backend import HEALTH_PATH, Received, answer

HEALTHY = BackendAnswer(200, (), b"", ran=True, draining=False)
DRAINING = BackendAnswer(200, (), b"", ran=True, draining=True)

MAX_DETECTION_SECONDS = 2.0
"""Maximum time until callers learn of a drain."""


class PolledBackend:
    """A back end whose health checks return ``result``, after ``meanwhile`` was called."""

    def __init__(self, result: BackendResult) -> None:
        self.result = result
        self.meanwhile: Callable[[], None] = lambda: None
        self.checks = 0
        self.reported: list[str] = []
        self.monitor = BackendHealthMonitor(
            self, lambda: self.reported.append("leaving"), lambda: self.reported.append("returned")
        )

    def send(
        self, request: BackendRequest, on_result: Callable[[BackendResult], None]
    ) -> Callable[[], object]:
        assert request.path == HEALTH_PATH
        self.checks += 1
        self.meanwhile()
        handle = asyncio.get_running_loop().call_soon(on_result, self.result)
        return handle.cancel

    async def close(self) -> None:
        raise AssertionError("the monitor must not close the client")


def test_slowest_check_ends_within_the_bound() -> None:
    assert 2 * IDLE_POLL_SECONDS + CHECK_TIMEOUT_SECONDS <= MAX_DETECTION_SECONDS


async def test_idle_back_end_is_checked_and_its_drain_reported_once() -> None:
    backend = PolledBackend(DRAINING)
    await backend.monitor.poll()
    await backend.monitor.poll()
    assert backend.reported == ["leaving"]
    assert backend.monitor.is_draining


async def test_back_end_that_answers_is_not_checked() -> None:
    backend = PolledBackend(DRAINING)
    for _ in range(3):
        backend.monitor.on_answer(HEALTHY)
        await backend.monitor.poll()
    assert (backend.checks, backend.reported) == (0, [])


async def test_answer_during_a_check_overrides_its_result() -> None:
    backend = PolledBackend(DRAINING)
    backend.meanwhile = lambda: backend.monitor.on_answer(HEALTHY)
    await backend.monitor.poll()
    assert (backend.checks, backend.reported) == (1, [])


async def test_check_result_without_a_drain_is_not_reported() -> None:
    for result in (BackendUnreached("refused"), BackendBroken("reset", BrokenCause.RESET), HEALTHY):
        backend = PolledBackend(result)
        await backend.monitor.poll()
        assert not backend.reported


async def test_return_of_a_back_end_seen_gone_is_reported() -> None:
    backend = PolledBackend(HEALTHY)
    backend.monitor.on_answer(DRAINING)
    backend.result = BackendUnreached("refused")
    await backend.monitor.poll()
    backend.result = HEALTHY
    await backend.monitor.poll()
    assert backend.reported == ["leaving", "returned"]
    assert not backend.monitor.is_draining


async def test_callers_hear_of_a_back_end_that_leaves_without_any_call() -> None:
    is_draining = False
    drain_answers = 0

    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        nonlocal drain_answers
        headers = {"finchshed_draining": "1"} if is_draining else {}
        writer.write(answer(received.path.encode(), 200, **headers))
        drain_answers += is_draining

    async with deployment(handler, health=handler) as system:
        for number in range(10):
            assert (await system.ask(f"/a{number}")).status == 200
        is_draining = True
        # Callers were notified after the first check, before the second.
        await eventually(lambda: drain_answers >= 2)
        for number in range(10):
            assert (await system.ask(f"/b{number}")).ran == "no"
        assert not [path for path in system.backends[0].paths() if path.startswith("/b")]
