"""Local fake of the platform: machines on loopback addresses, back ends and an operator."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
OUTBOUND_PORT, READY_PORT, CONTROL_PORT, APP_PORT = 8304, 8302, 8306, 8301
INTERNAL_PORTS = (7620, 7635)
HEARTBEAT_SECONDS = 0.4
HEALTH_PATH = "/health"
MAX_BACKEND_BODY_BYTES = 64 << 20
START_TIMEOUT_SECONDS = 30.0

INDETERMINATE_STATUSES = frozenset({0, 503})
"""Statuses after which an operator sends the same configuration again."""

DECISION_TIMEOUT_SECONDS = 4.0
"""Time within which a stable control group must accept or reject a configuration."""

Handler = Callable[["FakeBackend", web.Request], Awaitable[web.Response]]


def loopback_prefix() -> str:
    """Return a loopback address prefix that no other test process uses."""
    process = os.getpid()
    return f"127.{100 + process // 250 % 100}.{process % 250}"


@dataclass
class Machine:
    """A machine and its finchshed process."""

    role: str
    ip: str
    zone: str
    folder: Path
    fields: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None

    def start(self, *, bootstrap: bool = True, wipe: bool = False) -> None:
        """Write the settings and start the process, optionally with an empty data folder."""
        if wipe:
            for path in sorted(self.folder.rglob("*"), reverse=True):
                path.rmdir() if path.is_dir() else path.unlink()
        self.write_settings(bootstrap=bootstrap)
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": f"{ROOT / 'src'}:{ROOT / 'platform'}",
            "FINCHSHED_SETTINGS": str(self.settings),
        }
        log = self.log_file.open("ab")
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform" / "run.py"), self.role],
            env=environment,
            stdout=log,
            stderr=log,
        )

    @property
    def settings(self) -> Path:
        """Path of the settings file."""
        return self.folder.parent / f"{self.role}-{self.ip}.json"

    @property
    def log_file(self) -> Path:
        """Path of the log file."""
        return self.folder.parent / f"{self.role}-{self.ip}.log"

    def log(self) -> str:
        """Return the log output of the process."""
        return self.log_file.read_text()

    def write_settings(self, *, bootstrap: bool = False) -> None:
        """Write the current settings."""
        self.settings.write_text(json.dumps({**self.fields, "bootstrap": bootstrap}))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def wait(self, seconds: float) -> int:
        """Wait for the process to end; return its exit code."""
        assert self.process is not None
        return self.process.wait(seconds)

    def stop(self) -> None:
        """Kill the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


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
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.0)
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


@dataclass(frozen=True)
class ClientResponse:
    """Response to a client request; header names are in lower case, status 0 means none."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass
class FakePlatform:
    """A running deployment."""

    controls: list[Machine]
    daemons: list[Machine]
    backends: list[FakeBackend]
    session: aiohttp.ClientSession
    requests: int = 0

    async def put(self, document: dict[str, Any] | bytes, control: int = 0) -> int:
        """Send a configuration to one control node; return the status, 0 if it does not respond."""
        data = document if isinstance(document, bytes) else json.dumps(document).encode()
        url = f"http://{self.controls[control].ip}:{CONTROL_PORT}/finchshed/config/replace"
        return (await self._call("POST", url, data)).status

    async def put_until_accepted(self, document: dict[str, Any]) -> None:
        """Send a configuration to each control node in turn until one accepts it."""
        await wait_until(lambda: self._put_to_any(document))

    async def put_until_decided(self, document: dict[str, Any], control: int) -> int:
        """Resend a configuration until it is accepted or rejected; fail on timeout."""
        deadline = time.monotonic() + DECISION_TIMEOUT_SECONDS
        while (status := await self.put(document, control)) in INDETERMINATE_STATUSES:
            assert time.monotonic() < deadline, (
                f"no decision within {DECISION_TIMEOUT_SECONDS} s, last status {status}"
            )
        return status

    async def read(self, control: int = 0) -> ClientResponse:
        """Read the configuration from one control node."""
        url = f"http://{self.controls[control].ip}:{CONTROL_PORT}/finchshed/config/get"
        return await self._call("GET", url, b"")

    async def is_ready(self, daemon: int) -> bool:
        """Return whether a daemon reports that it is ready."""
        url = f"http://{self.daemons[daemon].ip}:{READY_PORT}/finchshed/ready"
        return (await self._call("GET", url, b"")).status == 200

    async def send_request(
        self,
        path: str,
        *,
        host: str = "sales.example",
        method: str = "GET",
        body: bytes = b"",
        daemon: int = 0,
        identity: str = "",
        deadline_ms: int = 3000,
        key: str = "",
    ) -> ClientResponse:
        """Send a client request to a daemon."""
        self.requests += 1
        headers = {
            "Host": host,
            "Request-Id": identity or f"{self.requests:016x}",
            "Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers |= {"Api-Key": key, "Tenant": "forged"}
        url = f"http://{self.daemons[daemon].ip}:{OUTBOUND_PORT}{path}"
        return await self._call(method, url, body, headers)

    async def _put_to_any(self, document: dict[str, Any]) -> bool:
        for control in range(len(self.controls)):
            if await self.put(document, control) == 200:
                return True
        return False

    async def _call(
        self, method: str, url: str, body: bytes, headers: dict[str, str] | None = None
    ) -> ClientResponse:
        timeout = aiohttp.ClientTimeout(total=5.0)
        try:
            async with self.session.request(
                method, url, data=body or None, headers=headers, timeout=timeout
            ) as response:
                response_headers = {name.lower(): value for name, value in response.headers.items()}
                return ClientResponse(response.status, response_headers, await response.read())
        except (aiohttp.ClientError, TimeoutError):
            return ClientResponse(0, {}, b"")


def route(prefix: str, service: str, kind: str = "safe", **changed: Any) -> dict[str, Any]:
    """Return a route; ``changed`` overrides fields of the action or of the route."""
    action = {"service": service, "timeout_s": 2, "max_attempts": 2}
    action.update({name: changed.pop(name) for name in list(changed) if name in action})
    return {
        "name": f"r-{service}",
        "kind": kind,
        "target_latency_s": 1,
        "priority": 1,
        "match": {"path_prefix": prefix},
        "action": action,
        **changed,
    }


def document(version: int, base: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with the services ``sales`` and ``ledger``."""
    listed = routes or (route("/buy/", "sales", "unsafe"), route("/look/", "sales"))
    names = ("sales", "ledger")
    return {
        "version": f"r{version}",
        "base_version": f"r{base}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "listeners": [{"host": "sales.example", "ruleset": list(listed)}],
        "clusters": [
            {"name": name, "health_path": HEALTH_PATH, "max_connections": 64} for name in names
        ],
    }


async def wait_until(
    condition: Callable[[], Awaitable[object]], seconds: float = START_TIMEOUT_SECONDS
) -> None:
    """Poll ``condition`` until it holds; fail after ``seconds``."""
    deadline = time.monotonic() + seconds
    while not await condition():
        assert time.monotonic() < deadline, f"condition not met within {seconds} s"
        await asyncio.sleep(0.05)


async def wait_until_known(running: FakePlatform, *routes: dict[str, Any]) -> None:
    """Apply routes and wait until each daemon knows every back end and serves ``/look/``."""
    await running.put_until_accepted(document(3, 0, *routes))

    async def all_known() -> bool:
        for number, daemon in enumerate(running.daemons):
            log = daemon.log()
            if any(f"told of back end {one.instance} of" not in log for one in running.backends):
                return False
            if (await running.send_request("/look/early", daemon=number)).status != 200:
                return False
        return True

    await wait_until(all_known)


@asynccontextmanager
async def run_platform(
    folder: Path,
    *services: str,
    handlers: dict[str, Handler] | None = None,
    bounds: dict[str, Any] | None = None,
    zones: tuple[str, ...] = ZONES,
    fields: dict[str, Any] | None = None,
    make_backend: type[FakeBackend] = FakeBackend,
) -> AsyncIterator[FakePlatform]:
    """Run three control nodes, and a daemon with a back end for each of ``services``.

    Daemons are placed in ``zones`` in turn. ``fields`` are added to the settings of each machine.
    ``make_backend`` is the class of the back ends.
    """
    hosts = [f"{loopback_prefix()}.{1 + number}" for number in range(3 + len(services))]
    seeds = [f"{host}:{CONTROL_PORT}" for host in hosts[:3]]
    controls = [
        _machine("control", host, ZONES[number], folder, seeds)
        for number, host in enumerate(hosts[:3])
    ]
    daemons = []
    backends = []
    for number, service in enumerate(services):
        host, zone = hosts[3 + number], zones[number % len(zones)]
        daemons.append(_machine("daemon", host, zone, folder, seeds, service=service))
        handler = (handlers or {}).get(service, echo)
        backends.append(make_backend(service, f"i-{number}", host, zone, handler))
    async with AsyncExitStack() as stack:
        for machine in [*controls, *daemons]:
            machine.fields["bounds"] |= bounds or {}
            machine.fields |= fields or {}
            stack.callback(machine.stop)
            machine.start()
        for backend in backends:
            await stack.enter_async_context(backend)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield FakePlatform(controls, daemons, backends, session)


def _machine(
    role: str, ip: str, zone: str, folder: Path, seeds: list[str], *, service: str = ""
) -> Machine:
    data = folder / f"data-{role}-{ip}"
    data.mkdir(parents=True, exist_ok=True)
    listen = {"control": f"{ip}:{CONTROL_PORT}"}
    if role == "daemon":
        listen |= {"outbound": f"{ip}:{OUTBOUND_PORT}", "ready": f"{ip}:{READY_PORT}"}
    fields = {
        "node_name": f"{role}-{ip.rpartition('.')[2]}",
        "ip": ip,
        "zone": zone,
        "region": "texas",
        "listen": listen,
        "port_range": list(INTERNAL_PORTS),
        "seed_nodes": seeds,
        "bounds": {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_slack": 50},
        "heartbeat_s": HEARTBEAT_SECONDS,
        "data_dir": str(data) if role == "control" else None,
        "service": service,
        "app_addr": f"{ip}:{APP_PORT}" if role == "daemon" else "",
        "unknown_field": {"is": "passed over"},
    }
    return Machine(role, ip, zone, data, fields)
