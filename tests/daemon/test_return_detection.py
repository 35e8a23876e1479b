"""A drained endpoint accepts calls again after a restart of its daemon or its back end."""

import asyncio
import signal

from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendBroken,
    BackendUnreached,
    BrokenCause,
)
from finchshed.daemon.backend.return_detection import STABLE_SECONDS, ReturnDetector
from tests.daemon.deployment import Deployment, deployment, eventually
from tests.daemon.scripted_backend import Received, answer

MAX_ATTEMPTS = 300
PAUSE_SECONDS = 0.05
FLAGS = {"drain-notice-seconds": "0.2"}

HEALTHY = BackendAnswer(200, (), b"", ran=True, draining=False)
DRAINING = BackendAnswer(200, (), b"", ran=True, draining=True)


async def until_answered(system: Deployment, path: str) -> None:
    for _ in range(MAX_ATTEMPTS):
        if (await system.ask(path)).status == 200:
            return
        await asyncio.sleep(PAUSE_SECONDS)
    raise AssertionError(f"{path} was not answered in {MAX_ATTEMPTS} attempts")


def test_first_good_answer_marks_a_gone_back_end_as_returned() -> None:
    detector = ReturnDetector()
    assert not detector.has_returned(DRAINING, 1.0)
    assert not detector.has_returned(BackendUnreached("refused"), 2.0)
    assert not detector.has_returned(BackendBroken("reset", BrokenCause.RESET), 2.5)
    assert detector.has_returned(HEALTHY, 3.0)


def test_good_answers_of_a_back_end_never_seen_gone_must_last() -> None:
    detector = ReturnDetector()
    assert not detector.has_returned(HEALTHY, 1.0)
    assert not detector.has_returned(DRAINING, 1.0 + STABLE_SECONDS - 0.1)
    assert not detector.has_returned(HEALTHY, 1.0 + STABLE_SECONDS)
    assert not detector.has_returned(HEALTHY, 1.0 + 2 * STABLE_SECONDS - 0.1)
    assert detector.has_returned(HEALTHY, 1.0 + 2 * STABLE_SECONDS)


async def test_restarted_daemon_gets_work_of_callers_that_saw_it_leave() -> None:
    async with deployment(flags=FLAGS) as system:
        assert (await system.ask("/a")).status == 200
        daemon = system.daemons[0]
        daemon.signal(signal.SIGTERM)
        assert await daemon.stopped() == 0
        assert (await system.ask("/b")).ran == "no"
        await daemon.start()
        await until_answered(system, "/c")
    assert system.runs("/b") == 0


async def test_daemon_takes_work_again_once_its_back_end_is_back() -> None:
    is_draining = False

    async def handler(received: Received, writer: asyncio.StreamWriter) -> None:
        nonlocal is_draining
        is_draining = is_draining or received.path == "/a"
        headers = {"finchshed_draining": "1"} if is_draining else {}
        writer.write(answer(received.path.encode(), 200, **headers))

    async with deployment(handler, health=handler) as system:
        assert (await system.ask("/a")).status == 200
        assert (await system.ask("/b")).ran == "no"
        await eventually(lambda: system.backends[0].health_checks >= 2)
        assert (await system.ask("/c")).ran == "no"
        is_draining = False
        await until_answered(system, "/d")
    assert system.runs("/b") == system.runs("/c") == 0
