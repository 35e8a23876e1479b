"""Back end of the fake platform, with the handlers that answer its requests."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp import web

OUTBOUND_PORT, CONTROL_PORT, APP_PORT = 8304, 8306, 8301
"""Ports of a machine for requests, for heartbeats and of its back end."""

HEARTBEAT_SECONDS = 0.4
HEALTH_PATH = "/health"
MAX_BACKEND_BODY_BYTES = 64 << 20
MAX_BACKEND_HEADERS = 16_384

Handler = Callable[["FakeBackend", web.Request], Awaitable[web.Response]]


@dataclass
class FakeBackend:
    """A back end on the machine of a daemon."""

    service: str
    instance: str
    ip: str
    zone: str
    handler: Handler
    slots: int = 8
    state: str = "ready"
    executed: list[str] = field(default_factory=list)
    started: list[tuple[float, str]] = field(default_factory=list)
    """Monotonic times and identities of the requests that it ran."""

    headers: list[dict[str, str]] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    """Monotonic times and identities of the requests that reached it, run or not."""

    answer_headers: dict[str, str] = field(default_factory=dict)
    """Headers that it adds to its answers to requests."""

    sequence: int = 0
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    """Start that it states, Unix milliseconds; 0 states none."""

    keeps_instance: bool = False
    """Whether it starts again under the instance that it had."""

    health_load: str = ""
    """Load header of its answers to health checks; empty: its handler answers them."""

    health_checks: int = 0
    """Health checks that its handler answered; they aren't among the requests that it ran."""

    sends_heartbeats: bool = True
    """Whether it sends heartbeats; those to come are left out while it is false."""

    slowdown: float = 1.0
    """Duration of its work relative to the usual one, by handlers that ``working`` returns."""

    reports_load: bool = False
    """Whether its answers carry its load in four fields."""

    running: int = 0
    most_running: int = 0
    """Largest number of requests that it ran at the same time."""

    acknowledged: int = 0
    session: aiohttp.ClientSession | None = None
    crashes: int = 0
    _runner: web.AppRunner | None = None
    _heartbeat_task: asyncio.Task[None] | None = None
    _restart_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "FakeBackend":
        self.session = aiohttp.ClientSession()
        await self._start_serving()
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.session is not None
        if self._restart_task is not None:
            self._restart_task.cancel()
        if self._runner is not None:
            await self._stop_serving()
        await self.session.close()

    @property
    def is_running(self) -> bool:
        """Whether it serves requests."""
        return self._runner is not None

    def crash(self, down_seconds: float) -> None:
        """Abort all connections and stop; a new instance starts after ``down_seconds``."""
        if self._runner is None:
            return
        assert self._runner.server is not None
        for connection in self._runner.server.connections:
            transport = connection.transport
            if transport is not None:
                transport.abort()
        self.crashes += 1
        runner, self._runner = self._runner, None
        assert self._heartbeat_task is not None
        self._heartbeat_task.cancel()
        self._restart_task = asyncio.create_task(self._restart_after(runner, down_seconds))

    async def _restart_after(self, runner: web.AppRunner, down_seconds: float) -> None:
        await runner.cleanup()
        await asyncio.sleep(down_seconds)
        if not self.keeps_instance:
            base, _, _ = self.instance.partition("-after-")
            self.instance = f"{base}-after-{self.crashes}"
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.answer_headers.clear()
        await self._start_serving()

    async def _start_serving(self) -> None:
        application = web.Application(client_max_size=MAX_BACKEND_BODY_BYTES)
        application.router.add_route("*", "/{path:.*}", self._handle_request)
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.0, max_headers=MAX_BACKEND_HEADERS
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self.ip, APP_PORT).start()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def _stop_serving(self) -> None:
        assert self._heartbeat_task is not None
        assert self._runner is not None
        self._heartbeat_task.cancel()
        await self._runner.cleanup()

    def pause_heartbeats(self) -> None:
        """Send no more heartbeats; requests are still answered."""
        assert self._heartbeat_task is not None
        self._heartbeat_task.cancel()

    def next_heartbeat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return self._born() | {
            "address": f"{self.ip}:{APP_PORT}",
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "cold_remaining_s": 0},
        }

    async def send_heartbeat(self) -> int:
        """Send one heartbeat; return the status, 0 if the connection failed."""
        return await self.post("heartbeat", self.next_heartbeat())

    async def leave(self) -> int:
        """Announce that the instance leaves; return the status, 0 if the connection failed."""
        return await self.post("leave", self._born())

    async def call(self, parent: str, host: str, path: str) -> int:
        """Send a call on behalf of the request ``parent`` through the local daemon."""
        assert self.session is not None
        headers = {
            "Host": host,
            "Request-Id": f"{parent}.{len(self.executed):x}",
            "Deadline-Ms": "900",
        }
        url = f"http://{self.ip}:{OUTBOUND_PORT}{path}"
        async with self.session.get(url, headers=headers) as response:
            await response.read()
            return response.status

    def _born(self) -> dict[str, Any]:
        return {"born": self.born_ms} if self.born_ms else {}

    async def post(self, call: str, body: dict[str, Any] | bytes, instance: str = "") -> int:
        """Send a message about an instance to the daemon; return the status, 0 if it failed."""
        assert self.session is not None
        name = instance or self.instance
        url = f"http://{self.ip}:{CONTROL_PORT}/finchshed/instances/{name}/{call}"
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        try:
            async with self.session.post(url, data=data) as response:
                await response.read()
                self.acknowledged += response.status == 200
                return response.status
        except aiohttp.ClientError:
            return 0

    async def _send_heartbeats(self) -> None:
        while True:
            if self.sends_heartbeats:
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _handle_request(self, request: web.Request) -> web.Response:
        if self.health_load and request.path == HEALTH_PATH:
            headers = {"Instance-Id": self.instance, "Server-Load": self.health_load}
            return web.Response(headers=headers)
        if request.path == HEALTH_PATH:
            self.health_checks += 1
            checked = await self.handler(self, request)
            checked.headers.update(self.headers_of(""))
            return checked
        identity = request.headers.get("Request-Id", "")
        self.arrivals.append((time.monotonic(), identity))
        if request.headers.get("Expect-Instance", self.instance) != self.instance:
            headers = {"Instance-Id": self.instance, "Not-Executed": "1", "Request-Id": identity}
            return web.Response(status=421, headers=headers)
        self.executed.append(identity)
        self.started.append((time.monotonic(), identity))
        self.headers.append({name.lower(): value for name, value in request.headers.items()})
        response = await self._run_handler(request)
        response.headers.update(self.headers_of(identity))
        return response

    def headers_of(self, identity: str) -> dict[str, str]:
        """Return the headers of its own in an answer; a health check has no identity."""
        headers = {"Server-Seal": f"seal-{self.instance}"}
        if identity:
            headers["Request-Id"] = identity
        if self.reports_load:
            headers["Server-Load"] = self.load()
        return headers | self.answer_headers

    def load(self) -> str:
        """Return its load: requests running, waiting, slots, and slowdown in percent."""
        return f"{self.running},0,{self.slots},{round(self.slowdown * 100)}"

    async def _run_handler(self, request: web.Request) -> web.Response:
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            return await self.handler(self, request)
        finally:
            self.running -= 1


async def echo(backend: FakeBackend, request: web.Request) -> web.Response:
    """Respond with the instance, method, path and body."""
    body = await request.read()
    text = f"{backend.instance} {request.method} {request.path_qs} ".encode()
    return web.Response(body=text + body)


def working(seconds: float) -> Handler:
    """Return a handler that responds like ``echo`` after a time, longer while slowed down."""

    async def work(backend: FakeBackend, request: web.Request) -> web.Response:
        await asyncio.sleep(seconds * backend.slowdown)
        return await echo(backend, request)

    return work
