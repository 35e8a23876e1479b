"""Stand-in back end: serves any path, works for a while, and records what it ran.

``/standin/...`` is for the fleet runner: slowing, draining, changing how the load is reported.
``/health`` and ``/load`` are what the daemon beside it polls; they can lag or mislead.
"""

import asyncio
import itertools
import os
import signal
from collections.abc import Coroutine, Mapping
from typing import Any

import aiohttp
import msgspec
import numpy
from aiohttp import web

from finchshed.common.context import (
    HEADER_ACCOUNT,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_IMPORTANCE,
    HEADER_RAN,
    HEADER_ROOT,
)
from finchshed.link.digests import digest_of
from finchshed.proof.history import HEADER_ANSWER_DIGEST, HEADER_ANSWER_ROOT, HEADER_CALL
from finchshed.standins import answers, downloads
from finchshed.standins.calling import ChildCalls, ChildRefusedError
from finchshed.standins.load_reports import LoadReports
from finchshed.standins.records import BackendEvent, BackendRecord, RecordWriter, monotonic
from finchshed.standins.serving import start_site, stop_event
from finchshed.standins.settings import BackendSettings, LoadReporting
from finchshed.standins.slots import Slots
from finchshed.standins.work import ServiceTime

HEADER_DRAINING = "finchshed-draining"
HEADER_RETRY_AFTER = "Retry-After"
REFUSED_STATUS = 503
DEADLINE_STATUS = 504
DEFAULT_EDITION_BYTES = 1 << 20
"""Size of a download whose request names none."""

MAX_REQUEST_BYTES = 64 << 20
"""As much as a service may declare to take (configuration/resources.py)."""

LEAVE_TIMEOUT_SECONDS = 30.0
"""A drain ends at the latest after so long; chosen, not measured."""

DRAIN_POLL_SECONDS = 0.05
"""Between two looks whether the last request has ended; chosen, not measured."""


class Incoming(msgspec.Struct, frozen=True):
    """What a back end notes of a request."""

    call: str
    run: str
    root: str
    key: str
    account: str
    path: str
    importance: str
    deadline: float


class StandinBackend:
    """One stand-in back end."""

    def __init__(self, settings: BackendSettings, session: aiohttp.ClientSession) -> None:
        generator = numpy.random.default_rng(settings.seed)
        self.settings = settings
        self._draining_since: float | None = None
        self._fail_fast = False
        self._edition = 1
        self._run_prefix = f"{settings.name}:{os.getpid()}:"
        self._run_numbers = itertools.count(1)
        self._slots = Slots(settings.slots, settings.queue_limit)
        self._reports = LoadReports(settings.load_reporting)
        self._records = RecordWriter(settings.record_path)
        self._children = ChildCalls(settings, session, self._records)
        self._service_time = ServiceTime(
            settings.service_time_seconds, settings.distribution, generator
        )

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        app.router.add_get("/health", self._health)
        app.router.add_get("/load", self._load)
        app.router.add_post("/standin/{act}", self._command)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    def begin_drain(self) -> None:
        """Start leaving: say so on each answer."""
        if self._draining_since is None:
            self._draining_since = monotonic()
            self._records.write(
                BackendRecord(
                    at=self._draining_since,
                    backend=self.settings.name,
                    event=BackendEvent.DRAINING,
                )
            )

    async def drained(self) -> None:
        """Wait until the grace has passed and nothing runs, or the drain's time is up."""
        begun = monotonic()
        deadline = begun + LEAVE_TIMEOUT_SECONDS
        grace_ends = begun + self.settings.leave_grace_seconds
        while monotonic() < deadline:
            if self._slots.in_flight == 0 and monotonic() >= grace_ends:
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _health(self, _: web.Request) -> web.Response:
        state = "leaving" if self._draining_since is not None else "live"
        return web.json_response({"state": state}, headers=self._common_headers())

    async def _load(self, _: web.Request) -> web.Response:
        in_flight = self._reports.report(self._slots.in_flight, monotonic())
        body = {"in_flight": in_flight, "slots": self.settings.slots}
        return web.json_response(body, headers=self._common_headers())

    async def _command(self, request: web.Request) -> web.Response:
        act = request.match_info["act"]
        value = request.query.get("value", "")
        if act == "slow":
            self._service_time.slow_factor = float(value)
        elif act == "drain":
            self.begin_drain()
        elif act == "report":
            self._reports.reporting = LoadReporting(value)
        elif act == "fail":
            self._fail_fast = value == "1"
        elif act == "edition":
            self._edition = int(value)
        else:
            return web.Response(status=404)
        return web.Response(status=204)

    async def _serve(self, request: web.Request) -> web.Response:
        body = await request.read()
        run = f"{self._run_prefix}{next(self._run_numbers)}"
        incoming = incoming_of(request.headers, request.path, run)
        self._note(BackendEvent.ARRIVED, incoming)
        refusal = self._refusal()
        if refusal:
            return self._refuse(incoming, refusal)
        try:
            async with asyncio.timeout_at(self._loop_deadline(incoming)):
                await self._slots.acquire()
        except TimeoutError:
            return self._refuse(incoming, "deadline passed in the queue")
        try:
            return await self._run(request, body, incoming)
        finally:
            self._slots.release()

    async def _run(self, request: web.Request, body: bytes, incoming: Incoming) -> web.Response:
        self._note(BackendEvent.STARTED, incoming)
        if self._fail_fast:
            self._note(BackendEvent.FAILED, incoming)
            return web.Response(status=500, headers=self._common_headers())
        try:
            async with asyncio.timeout_at(self._loop_deadline(incoming)):
                await self._children.call_all(incoming.run, request)
                await asyncio.sleep(self._service_time.draw())
        except TimeoutError:
            self._note(BackendEvent.ABORTED, incoming, "deadline")
            headers = {**self._common_headers(), HEADER_RAN: "unknown"}
            return web.Response(status=DEADLINE_STATUS, headers=headers)
        except asyncio.CancelledError:
            self._note(BackendEvent.ABORTED, incoming, "cancelled")
            raise
        except ChildRefusedError as error:
            self._note(BackendEvent.FAILED, incoming, str(error))
            return self._dependency_failed(error)
        self._note(BackendEvent.FINISHED, incoming)
        return self._answer(request, body, incoming)

    def _answer(self, request: web.Request, body: bytes, incoming: Incoming) -> web.Response:
        headers = self._common_headers()
        identity = request.headers.get(answers.HEADER_IDENTITY, incoming.call)
        headers[answers.HEADER_IDENTITY] = identity
        headers[HEADER_ANSWER_ROOT] = incoming.root
        headers[answers.HEADER_RECEIVED] = digest_of(body)
        wanted = answers.parse_range(request.headers.get("Range", ""))
        if wanted is not None:
            size = int(request.query.get("size", DEFAULT_EDITION_BYTES))
            part = downloads.part_of(request.path, self._edition, size, wanted, request.headers)
            return web.Response(status=part.status, body=part.body, headers=headers | part.headers)
        content = answers.answer_body(identity, self.settings.answer_bytes)
        headers[HEADER_ANSWER_DIGEST] = digest_of(content)
        return web.Response(body=content, headers=headers)

    def _refusal(self) -> str:
        if self._slots.is_full:
            return "queue full"
        since = self._draining_since
        if since is not None and monotonic() - since > self.settings.leave_grace_seconds:
            return "leaving"
        return ""

    def _refuse(self, incoming: Incoming, detail: str) -> web.Response:
        self._note(BackendEvent.REFUSED, incoming, detail)
        headers = {**self._common_headers(), HEADER_RAN: "no", HEADER_RETRY_AFTER: "1"}
        return web.Response(status=REFUSED_STATUS, headers=headers, text=detail)

    def _dependency_failed(self, error: ChildRefusedError) -> web.Response:
        headers = {**self._common_headers(), HEADER_RAN: "unknown"}
        headers[HEADER_RETRY_AFTER] = error.retry_after or "1"
        return web.Response(status=REFUSED_STATUS, headers=headers, text=str(error))

    def _common_headers(self) -> dict[str, str]:
        return {HEADER_DRAINING: "1"} if self._draining_since is not None else {}

    def _loop_deadline(self, incoming: Incoming) -> float:
        left = incoming.deadline - monotonic()
        return asyncio.get_running_loop().time() + max(0.0, left)

    def _note(self, event: BackendEvent, incoming: Incoming, detail: str = "") -> None:
        now = monotonic()
        since = self._draining_since
        self._records.write(
            BackendRecord(
                at=now,
                backend=self.settings.name,
                event=event,
                service=self.settings.service,
                call=incoming.call,
                run=incoming.run,
                root=incoming.root,
                key=incoming.key,
                account=incoming.account,
                path=incoming.path,
                importance=incoming.importance,
                draining_seconds=-1.0 if since is None else now - since,
                detail=detail,
            )
        )


def incoming_of(headers: Mapping[str, str], path: str, run: str) -> Incoming:
    """Return what to note of a request with these headers."""
    deadline_ms = headers.get(HEADER_DEADLINE, "")
    seconds = float(deadline_ms) / 1000.0 if deadline_ms else 60.0
    return Incoming(
        call=headers.get(HEADER_CALL, ""),
        run=run,
        root=headers.get(HEADER_ROOT, ""),
        key=headers.get(HEADER_IDEMPOTENCY_KEY, ""),
        account=headers.get(HEADER_ACCOUNT, ""),
        path=path,
        importance=headers.get(HEADER_IMPORTANCE, ""),
        deadline=monotonic() + seconds,
    )


async def run_backend(settings: BackendSettings) -> int:
    """Serve until SIGTERM, then drain; SIGINT ends at once. Returns the exit code."""
    leaving = stop_event((signal.SIGTERM,))
    ended = stop_event((signal.SIGINT,))
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        backend = StandinBackend(settings, session)
        runner = await start_site(backend.application(), settings.address)
        await _first_of(leaving.wait(), ended.wait())
        if leaving.is_set():
            backend.begin_drain()
            await _first_of(backend.drained(), ended.wait())
        await runner.cleanup()
    return 0


async def _first_of(*waits: Coroutine[Any, Any, Any]) -> None:
    tasks = [asyncio.create_task(wait) for wait in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
