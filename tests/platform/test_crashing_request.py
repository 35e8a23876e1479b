"""Guards against a request that crashes one back end after another through several daemons."""

import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from aiohttp import web

from tests.platform.fake_backend import FakeBackend, echo
from tests.platform.fake_platform import (
    FakePlatform,
    route,
    run_platform,
    wait_until,
    wait_until_known,
)

ROUTES = (route("/look/", "sales", timeout_s=1), route("/ledger/", "ledger", timeout_s=1))

CRASHING_TARGET = "/look/crashing?n=1"
BACKEND_COUNT = 5
CRASH_AFTER_SECONDS = 0.05
WORK_SECONDS = 0.1
DOWN_SECONDS = 1.0
RETRY_SECONDS = 0.1
OTHER_REQUEST_SECONDS = 0.05
PROPAGATION_SECONDS = 3.0
"""Time after the third crash within which all connected daemons must block the request."""

OBSERVATION_SECONDS = 9.0
CONTROL_LOSS_SECONDS = 2.0
"""Time within which a daemon detects the loss of all control nodes."""

FAILED_REQUEST_EVENTS = {"request_ended", "call_ended"}
"""Written by the daemon of the caller and by that of the back end."""

MAX_LATE_REQUESTS = 3
MIN_SERVED_RATIO = 0.95


class CrashingService:
    """Back end handler that crashes on one request target, and records when."""

    def __init__(self, crashing_target: str = CRASHING_TARGET) -> None:
        self.crashing_target = crashing_target
        self.received_at: list[float] = []
        self.crashed_at: list[float] = []

    async def handler(self, backend: FakeBackend, request: web.Request) -> web.Response:
        """Respond after a delay, or crash the back end if the request has the crashing target."""
        if request.path_qs != self.crashing_target:
            await asyncio.sleep(WORK_SECONDS)
            return await echo(backend, request)
        self.received_at.append(time.monotonic())
        await asyncio.sleep(CRASH_AFTER_SECONDS)
        self.crashed_at.append(time.monotonic())
        backend.crash(DOWN_SECONDS)
        return web.Response()


async def send_repeatedly(
    running: FakePlatform, path: Callable[[int], str], pause: float, end_time: float
) -> list[tuple[float, int]]:
    """Send requests to the daemons in turn; return the send time and status of each."""
    sent: list[tuple[float, asyncio.Task[int]]] = []

    async def send_request(number: int) -> int:
        return (
            await running.send_request(path(number), daemon=number % len(running.daemons))
        ).status

    while time.monotonic() < end_time:
        sent.append((time.monotonic(), asyncio.create_task(send_request(len(sent)))))
        await asyncio.sleep(pause)
    return [(at, await task) for at, task in sent]


async def test_crashing_request_is_blocked_and_others_are_served(
    tmp_path: Path,
) -> None:
    crashes = CrashingService()
    services = ["sales"] * BACKEND_COUNT
    async with run_platform(tmp_path, *services, handlers={"sales": crashes.handler}) as running:
        await wait_until_known(running, *ROUTES)
        end = time.monotonic() + OBSERVATION_SECONDS
        responses, others = await asyncio.gather(
            send_repeatedly(running, lambda _: CRASHING_TARGET, RETRY_SECONDS, end),
            send_repeatedly(running, lambda number: f"/look/{number}", OTHER_REQUEST_SECONDS, end),
        )
        propagated_at = crashes.crashed_at[2] + PROPAGATION_SECONDS
        late = [at for at in crashes.received_at if at > propagated_at]
        assert len(late) <= MAX_LATE_REQUESTS, (
            f"{len(late)} late requests, {len(crashes.crashed_at)} crashes"
        )
        statuses = [status for at, status in others if at > propagated_at]
        served = statuses.count(200) / len(statuses)
        assert served >= MIN_SERVED_RATIO, (
            f"{served:.3f} of the other requests served, {Counter(statuses)}"
        )
        # Blocked requests are refused with 503.
        assert {status for at, status in responses if at > propagated_at} == {503}


async def test_crashing_downstream_call_is_blocked_while_its_root_is_retried(
    tmp_path: Path,
) -> None:
    crashes = CrashingService("/ledger/crashing")

    async def call_ledger(backend: FakeBackend, request: web.Request) -> web.Response:
        path = "/ledger/crashing" if request.path_qs == CRASHING_TARGET else "/ledger/entry"
        status = await backend.call(request.headers["Request-Id"], "sales.example", path)
        return web.Response(status=200 if status == 200 else 500)

    services = ["sales", "ledger", "ledger", "ledger"]
    handlers = {"sales": call_ledger, "ledger": crashes.handler}
    async with run_platform(tmp_path, *services, handlers=handlers) as running:
        await wait_until_known(running, *ROUTES)
        end = time.monotonic() + OBSERVATION_SECONDS
        responses, others = await asyncio.gather(
            send_repeatedly(running, lambda _: CRASHING_TARGET, RETRY_SECONDS, end),
            send_repeatedly(running, lambda number: f"/look/{number}", RETRY_SECONDS, end),
        )
        propagated_at = crashes.crashed_at[2] + PROPAGATION_SECONDS
        assert sum(at > propagated_at for at in crashes.received_at) <= MAX_LATE_REQUESTS
        statuses = [status for at, status in others if at > propagated_at]
        assert statuses.count(200) / len(statuses) >= MIN_SERVED_RATIO, Counter(statuses)
        assert running.backends[0].crashes == 0
        assert {status for at, status in responses if at > propagated_at} <= {500, 503}


async def test_daemons_share_crashing_requests_without_control(tmp_path: Path) -> None:
    crashes = CrashingService()
    services = ["sales"] * BACKEND_COUNT
    async with run_platform(tmp_path, *services, handlers={"sales": crashes.handler}) as running:
        await wait_until_known(running, *ROUTES)
        for control in running.controls:
            control.stop()
        await asyncio.sleep(CONTROL_LOSS_SECONDS)
        end = time.monotonic() + OBSERVATION_SECONDS
        responses = await send_repeatedly(running, lambda _: CRASHING_TARGET, RETRY_SECONDS, end)
        propagated_at = crashes.crashed_at[2] + PROPAGATION_SECONDS
        assert sum(at > propagated_at for at in crashes.received_at) <= MAX_LATE_REQUESTS
        assert {status for at, status in responses if at > propagated_at} == {503}
        # A restarted daemon learns of the blocked request over its first link.
        running.daemons[0].stop()
        running.daemons[0].start()
        received = len(crashes.received_at)
        for _ in range(20):
            await running.send_request(CRASHING_TARGET, daemon=0)
            await asyncio.sleep(RETRY_SECONDS)
        assert len(crashes.received_at) == received


async def test_log_records_share_the_signature_of_the_crashing_request(tmp_path: Path) -> None:
    crashes = CrashingService()
    async with run_platform(
        tmp_path, "sales", "sales", handlers={"sales": crashes.handler}
    ) as running:
        await wait_until_known(running, *ROUTES)
        await asyncio.gather(
            running.send_request(CRASHING_TARGET),
            running.send_request("/look/other", daemon=1, identity="other"),
        )

        async def both_logged() -> bool:
            return len(_backend_ended_records(running)) >= len(running.backends)

        await wait_until(both_logged)
        signatures = [set(line["signatures"]) for line in _backend_ended_records(running)]
        common = set.intersection(*signatures[: len(running.backends)])
        assert len(common) == 1

        async def each_daemon_has_written() -> bool:
            return _events_with(running, common) >= FAILED_REQUEST_EVENTS

        await wait_until(each_daemon_has_written)
        assert _events_with(running, common) == FAILED_REQUEST_EVENTS


def _events_with(running: FakePlatform, signatures: set[str]) -> set[object]:
    """Return the events in the logs of all daemons that have one of ``signatures``."""
    records = _log_records(running)
    return {line["event"] for line in records if line.get("signature") in signatures}


def _log_records(running: FakePlatform) -> list[dict[str, object]]:
    texts = (daemon.log().splitlines() for daemon in running.daemons)
    return [json.loads(line) for text in texts for line in text if line.startswith("{")]


def _backend_ended_records(running: FakePlatform) -> list[dict[str, list[str]]]:
    return [line for line in _log_records(running) if line["event"] == "backend_ended"]  # type: ignore[misc]
