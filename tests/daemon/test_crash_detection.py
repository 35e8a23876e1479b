"""A broken connection counts as a crash only if the back end refuses new ones."""

import asyncio
from collections.abc import Callable
from typing import Any
from unittest.mock import AsyncMock, Mock

from finchshed.daemon.backend.http_client import HttpBackend
from finchshed.daemon.serving.crash_detection import CrashDetector, InterruptedRequest
from tests.daemon.scripted_backend import ScriptedBackend, echo, healthy


def crash_detector(refuses: bool | Callable[[], bool], crashes: list[Any]) -> CrashDetector:
    backend = Mock()
    backend.refuses_connections = AsyncMock(return_value=refuses)
    return CrashDetector(backend, lambda *arguments: crashes.append(arguments))


async def test_requests_interrupted_together_are_one_crash_reported_before_they_continue() -> None:
    crashes: list[Any] = []
    continued: list[tuple[str, int]] = []
    detector = crash_detector(True, crashes)
    for name in ("a", "b"):
        detector.on_interrupted(
            "i-1", InterruptedRequest(name, lambda n=name: continued.append((n, len(crashes))))
        )
    assert not continued
    await asyncio.sleep(0.1)
    assert crashes == [("i-1", ["a", "b"])]
    assert continued == [("a", 1), ("b", 1)]


async def test_connection_reset_is_not_a_crash() -> None:
    crashes: list[Any] = []
    continued: list[str] = []
    detector = crash_detector(False, crashes)
    detector.on_interrupted("i-1", InterruptedRequest("a", lambda: continued.append("a")))
    await asyncio.sleep(0.1)
    assert not crashes
    assert continued == ["a"]


async def test_a_back_end_refuses_connections_only_once_it_has_ended() -> None:
    async with ScriptedBackend(echo, healthy) as backend:
        client = HttpBackend(backend.address, 2, 1.0)
        for _ in range(2):
            assert not await client.refuses_connections()
            assert (
                client.connections == 1
            )  # kept in the pool, which shows that the process is alive
        assert backend.connections == 1
        await backend.stop()
        await asyncio.sleep(0.05)
        assert await client.refuses_connections()
        assert client.connections == 0
