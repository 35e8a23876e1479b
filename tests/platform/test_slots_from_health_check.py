"""Guards against a restarted daemon that doesn't know the slots of the back end beside it."""

import asyncio
from pathlib import Path

import pytest

from tests.platform.fake_backend import working
from tests.platform.fake_platform import (
    ZONES,
    FakePlatform,
    route,
    run_platform,
    wait_until,
    wait_until_known,
)

ROUTES = (route("/look/", "sales"),)
WORK_SECONDS = 0.2
SLOTS = 3
REQUESTS = 4 * SLOTS

LONG_HEARTBEAT_SECONDS = 5.0
"""Heartbeat interval of the restarted daemon, so that missing heartbeats don't end its back end."""


async def restart_without_heartbeats(running: FakePlatform, load: str) -> None:
    """Restart the only daemon beside a back end that it can learn of by health checks alone."""
    (backend,) = running.backends
    (daemon,) = running.daemons
    backend.health_load = load
    backend.sends_heartbeats = False
    daemon.stop()
    daemon.fields["heartbeat_s"] = LONG_HEARTBEAT_SECONDS
    length = len(daemon.log())
    daemon.start()

    async def has_registered() -> bool:
        return f"back end {backend.instance} of sales: ready" in daemon.log()[length:]

    await wait_until(has_registered)


async def send_together(running: FakePlatform, name: str) -> list[int]:
    """Send requests at the same time; return their statuses."""
    requests = [running.send_request(f"/look/{name}-{number}") for number in range(REQUESTS)]
    return [response.status for response in await asyncio.gather(*requests)]


@pytest.mark.parametrize("load", [f"0, 0, {SLOTS}", f"0,0,{SLOTS},250"], ids=["three", "four"])
async def test_restarted_daemon_learns_the_slots_from_the_health_check(
    tmp_path: Path, load: str
) -> None:
    handlers = {"sales": working(WORK_SECONDS)}
    async with run_platform(tmp_path, "sales", handlers=handlers, zones=ZONES[:1]) as running:
        await wait_until_known(running, *ROUTES)
        (backend,) = running.backends
        assert backend.slots > SLOTS
        await restart_without_heartbeats(running, load)

        async def is_served() -> bool:
            return (await running.send_request("/look/first")).status == 200

        await wait_until(is_served)
        backend.most_running = 0
        acknowledged = backend.acknowledged
        statuses = await send_together(running, "all")
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= SLOTS
        assert backend.most_running == SLOTS
        assert backend.acknowledged == acknowledged
