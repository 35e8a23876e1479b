"""Simulated backend that serves any path after a random service time and records each request.

The fleet runner controls it through ``/standin/...`` (slow down, drain, misreport load). Its
daemon polls ``/health`` and ``/load``, which can report stale or false values.
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
from finchshed.standins.downstream_calls import DownstreamCallError, DownstreamCalls
from finchshed.standins.load_reports import LoadReporter
from finchshed.standins.records import BackendEvent, BackendRecord, RecordWriter, monotonic
from finchshed.standins.service_time import ServiceTime
from finchshed.standins.serving import start_site, stop_event
from finchshed.standins.settings import BackendSettings, LoadReporting
from finchshed.standins.slots import Slots

HEADER_DRAINING = "finchshed-draining"
HEADER_RETRY_AFTER = "Retry-After"
REFUSED_STATUS = 503
DEADLINE_STATUS = 504
DEFAULT_EDITION_BYTES = 1 << 20
"""Size of a download whose request has no ``size`` parameter."""

MAX_REQUEST_BYTES = 64 << 20
"""Largest request body that a service may declare (configuration/resources.py)."""

DRAIN_TIMEOUT_SECONDS = 30.0
"""Maximum duration of a drain."""

DRAIN_POLL_SECONDS = 0.05


class IncomingRequest(msgspec.Struct, frozen=True):
    """Request metadata that a backend records."""

    call: str
    run: str
    root: str
    key: str
    account: str
    path: str
    importance: str
    deadline: float


class StandinBackend:
    """HTTP server that simulates one backend."""

    def __init__(self, settings: BackendSettings, session: aiohttp.ClientSession) -> None:
        generator = numpy.random.default_rng(settings.seed)
        self.settings = settings
        self._draining_since: float | None = None
        self._fail_fast = False
        self._edition = 1
        self._run_prefix = f"{settings.name}:{os.getpid()}:"
        self._run_numbers = itertools.count(1)
        self._slots = Slots(settings.slots, settings.queue_limit)
        self._load_reporter = LoadReporter(settings.load_reporting)
        self._records = RecordWriter(settings.record_path)
        self._downstream_calls = DownstreamCalls(settings, session, self._records)
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
        """Start draining and announce it on each response."""
        if self._draining_since is None:
            self._draining_since = monotonic()
            self._records.write(
                BackendRecord(
                    at=self._draining_since,
                    backend=self.settings.name,
                    event=BackendEvent.DRAINING,
                )
            )

    async def wait_drained(self) -> None:
        """Wait until the grace period is over and no request is in flight, or until the timeout."""
        started_at = monotonic()
        deadline = started_at + DRAIN_TIMEOUT_SECONDS
        grace_ends = started_at + self.settings.leave_grace_seconds
        while monotonic() < deadline:
            if self._slots.in_flight == 0 and monotonic() >= grace_ends:
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _health(self, _: web.Request) -> web.Response:
        state = "leaving" if self._draining_since is not None else "live"
        return web.json_response({"state": state}, headers=self._common_headers())

    async def _load(self, _: web.Request) -> web.Response:
        in_flight = self._load_reporter.report(self._slots.in_flight, monotonic())
        body = {"in_flight": in_flight, "slots": self.settings.slots}
        return web.json_response(body, headers=self._common_headers())

    async def _command(self, request: web.Request) -> web.Response:
        command = request.match_info["act"]
        value = request.query.get("value", "")
        if command == "slow":
            self._service_time.slow_factor = float(value)
        elif command == "drain":
            self.begin_drain()
        elif command == "report":
            self._load_reporter.reporting = LoadReporting(value)
        elif command == "fail":
            self._fail_fast = value == "1"
        elif command == "edition":
            self._edition = int(value)
        else:
            return web.Response(status=404)
        return web.Response(status=204)

    async def _serve(self, request: web.Request) -> web.Response:
        body = await request.read()
        run = f"{self._run_prefix}{next(self._run_numbers)}"
        incoming = parse_incoming(request.headers, request.path, run)
        self._record_event(BackendEvent.ARRIVED, incoming)
        refusal = self._refusal_reason()
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

    async def _run(
        self, request: web.Request, body: bytes, incoming: IncomingRequest
    ) -> web.Response:
        self._record_event(BackendEvent.STARTED, incoming)
        if self._fail_fast:
            self._record_event(BackendEvent.FAILED, incoming)
            return web.Response(status=500, headers=self._common_headers())
        try:
            async with asyncio.timeout_at(self._loop_deadline(incoming)):
                await self._downstream_calls.call_all(incoming.run, request)
                await asyncio.sleep(self._service_time.draw())
        except TimeoutError:
            self._record_event(BackendEvent.ABORTED, incoming, "deadline")
            headers = {**self._common_headers(), HEADER_RAN: "unknown"}
            return web.Response(status=DEADLINE_STATUS, headers=headers)
        except asyncio.CancelledError:
            self._record_event(BackendEvent.ABORTED, incoming, "cancelled")
            raise
        except DownstreamCallError as error:
            self._record_event(BackendEvent.FAILED, incoming, str(error))
            return self._dependency_failed(error)
        self._record_event(BackendEvent.FINISHED, incoming)
        return self._answer(request, body, incoming)

    def _answer(self, request: web.Request, body: bytes, incoming: IncomingRequest) -> web.Response:
        headers = self._common_headers()
        identity = request.headers.get(answers.HEADER_IDENTITY, incoming.call)
        headers[answers.HEADER_IDENTITY] = identity
        headers[HEADER_ANSWER_ROOT] = incoming.root
        headers[answers.HEADER_REQUEST_DIGEST] = digest_of(body)
        requested = answers.parse_range(request.headers.get("Range", ""))
        if requested is not None:
            size = int(request.query.get("size", DEFAULT_EDITION_BYTES))
            download = downloads.download_response(
                request.path, self._edition, size, requested, request.headers
            )
            return web.Response(
                status=download.status, body=download.body, headers=headers | download.headers
            )
        content = answers.answer_body(identity, self.settings.answer_bytes)
        headers[HEADER_ANSWER_DIGEST] = digest_of(content)
        return web.Response(body=content, headers=headers)

    def _refusal_reason(self) -> str:
        if self._slots.is_full:
            return "queue full"
        since = self._draining_since
        if since is not None and monotonic() - since > self.settings.leave_grace_seconds:
            return "leaving"
        return ""

    def _refuse(self, incoming: IncomingRequest, detail: str) -> web.Response:
        self._record_event(BackendEvent.REFUSED, incoming, detail)
        headers = {**self._common_headers(), HEADER_RAN: "no", HEADER_RETRY_AFTER: "1"}
        return web.Response(status=REFUSED_STATUS, headers=headers, text=detail)

    def _dependency_failed(self, error: DownstreamCallError) -> web.Response:
        headers = {**self._common_headers(), HEADER_RAN: "unknown"}
        headers[HEADER_RETRY_AFTER] = error.retry_after or "1"
        return web.Response(status=REFUSED_STATUS, headers=headers, text=str(error))

    def _common_headers(self) -> dict[str, str]:
        return {HEADER_DRAINING: "1"} if self._draining_since is not None else {}

    def _loop_deadline(self, incoming: IncomingRequest) -> float:
        left = incoming.deadline - monotonic()
        return asyncio.get_running_loop().time() + max(0.0, left)

    def _record_event(
        self, event: BackendEvent, incoming: IncomingRequest, detail: str = ""
    ) -> None:
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


def parse_incoming(headers: Mapping[str, str], path: str, run: str) -> IncomingRequest:
    """Return the metadata of a request with these headers."""
    deadline_ms = headers.get(HEADER_DEADLINE, "")
    seconds = float(deadline_ms) / 1000.0 if deadline_ms else 60.0
    return IncomingRequest(
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
    """Serve until SIGTERM, then drain; SIGINT stops immediately. Return the exit code."""
    terminated = stop_event((signal.SIGTERM,))
    interrupted = stop_event((signal.SIGINT,))
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        backend = StandinBackend(settings, session)
        runner = await start_site(backend.application(), settings.address)
        await _wait_first(terminated.wait(), interrupted.wait())
        if terminated.is_set():
            backend.begin_drain()
            await _wait_first(backend.wait_drained(), interrupted.wait())
        await runner.cleanup()
    return 0


async def _wait_first(*waits: Coroutine[Any, Any, Any]) -> None:
    tasks = [asyncio.create_task(wait) for wait in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
