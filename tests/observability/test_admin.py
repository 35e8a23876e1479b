from collections.abc import AsyncIterator, Mapping
from pathlib import Path

import aiohttp
import msgspec
import pytest
from loguru import logger

from finchshed.observability import process_metrics, ring
from finchshed.observability.admin import AdminServer
from finchshed.observability.health import Health


class Answer(msgspec.Struct):
    asked: str


async def explain(query: Mapping[str, str]) -> Answer:
    return Answer(asked=query["call"])


async def broken(query: Mapping[str, str]) -> Answer:
    raise ValueError("odd")


class State:
    health = Health(healthy=True)


@pytest.fixture
async def base(tmp_path: Path) -> AsyncIterator[str]:
    ring.configure("daemon", "n1", tmp_path)
    server = AdminServer(
        "127.0.0.1:0", lambda: State.health, {"/explain": explain, "/broken": broken}
    )
    yield f"http://{await server.start()}"
    await server.stop()
    ring.configure("test", "none", None)


async def fetch(base: str, path: str, method: str = "GET") -> tuple[int, str]:
    async with aiohttp.ClientSession() as http, http.request(method, base + path) as response:
        return response.status, await response.text()


async def test_metrics_are_served(base: str) -> None:
    process_metrics.identify("daemon", "n1", "z1", "0")
    status, text = await fetch(base, "/metrics")
    assert status == 200
    assert 'finchshed_process_info{node="n1"' in text
    assert "process_resident_memory_bytes" in text


async def test_health_reflects_the_program_state(
    base: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert (await fetch(base, "/healthz"))[0] == 200
    monkeypatch.setattr(State, "health", Health(healthy=False, detail="no configuration"))
    status, text = await fetch(base, "/healthz")
    assert status == 503
    assert "no configuration" in text


async def test_ring_can_be_read_and_dumped(base: str, tmp_path: Path) -> None:
    logger.info("seen")
    assert '"message":"seen"' in (await fetch(base, "/ring"))[1]
    status, text = await fetch(base, "/ring", "POST")
    assert status == 200
    assert str(tmp_path) in text
    assert len(list((tmp_path / ring.DUMP_FOLDER).iterdir())) == 1


async def test_program_paths_and_errors(base: str) -> None:
    assert await fetch(base, "/explain?call=7") == (200, '{"asked":"7"}')
    assert (await fetch(base, "/broken"))[0] == 500
    assert (await fetch(base, "/nothing"))[0] == 404
    assert (await fetch(base, "/healthz"))[0] == 200
