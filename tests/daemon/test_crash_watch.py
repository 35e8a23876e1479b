"""A broken connection is a crash only where the back end takes no new one."""

import asyncio
from collections.abc import Callable
from typing import Any
from unittest.mock import AsyncMock, Mock

from finchshed.daemon.backend.http_client import HttpBackend
from finchshed.daemon.serving.crash_detection import CrashDetector, InterruptedRequest
from tests.daemon.scripted_backend import ScriptedBackend, echo, healthy


def watch(refuses: bool | Callable[[], bool], crashes: list[Any]) -> CrashDetector:
    backend = Mock()
    backend.refuses_connections = AsyncMock(return_value=refuses)
    return CrashDetector(backend, lambda *told: crashes.append(told))


async def test_what_broke_together_is_told_as_one_crash_before_anything_goes_on() -> None:
    crashes: list[Any] = []
    ends: list[tuple[str, int]] = []
    watching = watch(True, crashes)
    for name in ("a", "b"):
        watching.on_interrupted(
            "i-1", InterruptedRequest(name, lambda n=name: ends.append((n, len(crashes))))
        )
    assert not ends
    await asyncio.sleep(0.1)
    assert crashes == [("i-1", ["a", "b"])]
    assert ends == [("a", 1), ("b", 1)]


async def test_a_reset_of_connections_is_no_crash() -> None:
    crashes: list[Any] = []
    ends: list[str] = []
    watching = watch(False, crashes)
    watching.on_interrupted("i-1", InterruptedRequest("a", lambda: ends.append("a")))
    await asyncio.sleep(0.1)
    assert not crashes
    assert ends == ["a"]


async def test_a_back_end_refuses_connections_only_once_it_has_ended() -> None:
    async with ScriptedBackend(echo, healthy) as backend:
        client = HttpBackend(backend.address, 2, 1.0)
        for _ in range(2):
            assert not await client.refuses_connections()
            assert (
                client.connections == 1
            )  # it is kept for use, and shows that the process is there
        assert backend.connections == 1
        await backend.stop()
        await asyncio.sleep(0.05)
        assert await client.refuses_connections()
        assert client.connections == 0
