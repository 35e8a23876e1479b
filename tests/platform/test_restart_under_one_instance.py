"""Guards against what was held for a back end's earlier run being held for its later one."""

import asyncio
import time
from contextlib import AbstractAsyncContextManager
from pathlib import Path

from tests.platform.fake_backend import working
from tests.platform.fake_platform import (
    ZONES,
    FakePlatform,
    route,
    run_platform,
    wait_until,
    wait_until_known,
)
from tests.platform.open_loop import send_open_loop

ROUTES = (route("/look/", "sales"),)
WORK_SECONDS = 0.05
DOWN_SECONDS = 0.5
RETURN_SECONDS = 2.0
"""Time after its start within which all daemons call it again."""

LOAD_PER_SECOND = 60.0
JUDGED_LOAD_PER_SECOND = 180.0
"""Requests among which shares are judged: so many that chance alone stays within the bound."""

MIN_SHARE = 0.2
"""Fraction of each daemon's requests that one of three equal back ends gets at least."""


def run_sales(folder: Path) -> AbstractAsyncContextManager[FakePlatform]:
    """Run three equal back ends of one service in one zone."""
    return run_platform(
        folder, *["sales"] * 3, handlers={"sales": working(WORK_SECONDS)}, zones=ZONES[:1]
    )


async def check_restart(running: FakePlatform, *, is_late: bool) -> None:
    """Restart a back end that is limited and leaves; check that its later run is used in full."""
    restarting = running.backends[0]
    restarting.keeps_instance = True
    restarting.answer_headers |= {"Server-Limit": "0", "Server-Leaving": "1"}
    await send_open_loop(running, 1.5, LOAD_PER_SECOND)
    earlier = restarting.next_heartbeat()
    earlier_born = restarting.born_ms
    restarting.crash(DOWN_SECONDS)

    async def has_started_again() -> bool:
        return restarting.born_ms != earlier_born

    await wait_until(has_started_again)
    await asyncio.sleep(RETURN_SECONDS)
    if is_late:
        earlier["status"]["sequence"] += 1000
        earlier["status"]["state"] = "draining"
        await restarting.post("heartbeat", earlier)
        await restarting.post("leave", {"born": earlier_born})
    began = time.monotonic()
    sent = await send_open_loop(running, 2.0, JUDGED_LOAD_PER_SECOND)
    assert {request.status for request in sent} == {200}
    reached = {identity for at, identity in restarting.arrivals if at >= began}
    for daemon in range(len(running.daemons)):
        through = {request.identity for request in sent if request.daemon == daemon}
        got = len(reached & through)
        assert got >= MIN_SHARE * len(through), f"{got} of {len(through)} through daemon {daemon}"


# A back end that starts again under its name is not taken for the one that left.
async def test_later_run_is_used_in_full(tmp_path: Path) -> None:
    async with run_sales(tmp_path) as running:
        await wait_until_known(running, *ROUTES)
        await check_restart(running, is_late=False)


async def test_late_messages_of_the_earlier_run_change_nothing(tmp_path: Path) -> None:
    async with run_sales(tmp_path) as running:
        await wait_until_known(running, *ROUTES)
        await check_restart(running, is_late=True)


async def test_later_run_is_used_in_full_without_control(tmp_path: Path) -> None:
    async with run_sales(tmp_path) as running:
        await wait_until_known(running, *ROUTES)
        for control in running.controls:
            control.stop()
        await check_restart(running, is_late=True)
