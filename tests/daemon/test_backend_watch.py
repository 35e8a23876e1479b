"""A back end that leaves while it is idle is found by its health, and only as a hint."""

import asyncio
from collections.abc import Callable

from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendBroken,
    BackendRequest,
    BackendResult,
    BackendUnreached,
)
from finchshed.daemon.backend.health import (
    CHECK_TIMEOUT_SECONDS,
    IDLE_POLL_SECONDS,
    BackendHealthMonitor,
)
from tests.daemon.deployment import deployment, eventually
from tests.daemon.scripted_backend import HEALTH_PATH, Received, answer

WELL = BackendAnswer(200, (), b"", ran=True, draining=False)
LEAVING = BackendAnswer(200, (), b"", ran=True, draining=True)

HEARD_WITHIN_SECONDS = 2.0
"""The bound on the time until callers know of a back end that leaves."""


class Checked:
    """A back end whose checks end with ``result``; ``meanwhile`` is done before they end."""

    def __init__(self, result: BackendResult) -> None:
        self.result = result
        self.meanwhile: Callable[[], None] = lambda: None
        self.checks = 0
        self.told: list[str] = []
        self.watch = BackendHealthMonitor(
            self, lambda: self.told.append("leaving"), lambda: self.told.append("returned")
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
        raise AssertionError("not closed by the watch")


def test_the_slowest_check_ends_within_the_bound() -> None:
    assert 2 * IDLE_POLL_SECONDS + CHECK_TIMEOUT_SECONDS <= HEARD_WITHIN_SECONDS


async def test_an_idle_back_end_is_asked_and_its_sign_told_once() -> None:
    backend = Checked(LEAVING)
    await backend.watch.poll()
    await backend.watch.poll()
    assert backend.told == ["leaving"]
    assert backend.watch.is_draining


async def test_a_back_end_that_answers_is_not_asked() -> None:
    backend = Checked(LEAVING)
    for _ in range(3):
        backend.watch.on_answer(WELL)
        await backend.watch.poll()
    assert (backend.checks, backend.told) == (0, [])


async def test_an_answer_that_came_during_the_check_counts_more() -> None:
    backend = Checked(LEAVING)
    backend.meanwhile = lambda: backend.watch.on_answer(WELL)
    await backend.watch.poll()
    assert (backend.checks, backend.told) == (1, [])


async def test_health_says_nothing_but_the_sign() -> None:
    for result in (BackendUnreached("refused"), BackendBroken("reset"), WELL):
        backend = Checked(result)
        await backend.watch.poll()
        assert not backend.told


async def test_back_end_seen_gone_is_told_to_have_returned() -> None:
    backend = Checked(WELL)
    backend.watch.on_answer(LEAVING)
    backend.result = BackendUnreached("refused")
    await backend.watch.poll()
    backend.result = WELL
    await backend.watch.poll()
    assert backend.told == ["leaving", "returned"]
    assert not backend.watch.is_draining


async def test_callers_hear_of_a_back_end_that_leaves_without_any_call() -> None:
    is_leaving = False
    signs_told = 0

    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        nonlocal signs_told
        headers = {"finchshed_draining": "1"} if is_leaving else {}
        writer.write(answer(received.path.encode(), 200, **headers))
        signs_told += is_leaving

    async with deployment(handler, health=handler) as system:
        for number in range(10):
            assert (await system.ask(f"/a{number}")).status == 200
        is_leaving = True
        # The check that follows the one which was heeded: by then callers have been told.
        await eventually(lambda: signs_told >= 2)
        for number in range(10):
            assert (await system.ask(f"/b{number}")).ran == "no"
        assert not [path for path in system.backends[0].paths() if path.startswith("/b")]
