"""A stand-in of the users' platform: machines on loopback addresses, back ends, an operator.

Each machine has an address of its own and all use the same ports, as on the platform. The programs
are started as the deploy file says, from the checkout.
"""

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
OUTBOUND, READY, CONTROL, APP = 8304, 8302, 8306, 8301
INNER_PORTS = (7620, 7635)
HEARTBEAT_SECONDS = 0.4
START_SECONDS = 30.0

UNCLEAR = frozenset({0, 503})
"""Answers after which an operator sends the same again."""

ACKNOWLEDGED_SECONDS = 4.0
"""A configuration is clearly answered within this time while the core is stable."""

Work = Callable[["Backend", web.Request], Awaitable[web.Response]]


def network() -> str:
    """Return the first three parts of addresses that no other test process uses."""
    process = os.getpid()
    return f"127.{100 + process // 250 % 100}.{process % 250}"


@dataclass
class Machine:
    """One machine and the process on it."""

    role: str
    ip: str
    zone: str
    folder: Path
    fields: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None

    def start(self, *, bootstrap: bool = True, wipe: bool = False) -> None:
        """Start the program with the settings of this moment."""
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
        """The settings file."""
        return self.folder.parent / f"{self.role}-{self.ip}.json"

    @property
    def log_file(self) -> Path:
        """What the process writes."""
        return self.folder.parent / f"{self.role}-{self.ip}.log"

    def log(self) -> str:
        """Return what the process has written."""
        return self.log_file.read_text()

    def write_settings(self, *, bootstrap: bool = False) -> None:
        """Write the settings of this moment."""
        self.settings.write_text(json.dumps({**self.fields, "bootstrap": bootstrap}))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process started here."""
        assert self.process is not None
        self.process.send_signal(number)

    def wait(self, seconds: float) -> int:
        """Wait for the process to end; return its exit code."""
        assert self.process is not None
        return self.process.wait(seconds)

    def stop(self) -> None:
        """End the process started here."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


@dataclass
class Backend:
    """A back end beside a daemon."""

    service: str
    instance: str
    ip: str
    zone: str
    work: Work
    slots: int = 8
    state: str = "ready"
    ran: list[str] = field(default_factory=list)
    headers: list[dict[str, str]] = field(default_factory=list)
    sequence: int = 0
    acknowledged: int = 0
    session: aiohttp.ClientSession | None = None
    crashes: int = 0
    _runner: web.AppRunner | None = None
    _beating: asyncio.Task[None] | None = None
    _returning: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Backend":
        self.session = aiohttp.ClientSession()
        await self._begin()
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.session is not None
        if self._returning is not None:
            self._returning.cancel()
        if self._runner is not None:
            await self._end()
        await self.session.close()

    def crash(self, down_seconds: float) -> None:
        """End at once: every connection breaks. Another instance starts later."""
        if self._runner is None:
            return
        assert self._runner.server is not None
        for connection in self._runner.server.connections:
            transport = connection.transport
            if transport is not None:
                transport.abort()
        self.crashes += 1
        runner, self._runner = self._runner, None
        assert self._beating is not None
        self._beating.cancel()
        self._returning = asyncio.create_task(self._return(runner, down_seconds))

    async def _return(self, runner: web.AppRunner, down_seconds: float) -> None:
        await runner.cleanup()
        await asyncio.sleep(down_seconds)
        base, _, _ = self.instance.partition("-after-")
        self.instance = f"{base}-after-{self.crashes}"
        self.sequence = 0
        await self._begin()

    async def _begin(self) -> None:
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.0)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.ip, APP).start()
        self._beating = asyncio.create_task(self._beat_forever())

    async def _end(self) -> None:
        assert self._beating is not None
        assert self._runner is not None
        self._beating.cancel()
        await self._runner.cleanup()

    async def beat(self) -> int:
        """Send one heartbeat; return the status."""
        self.sequence += 1
        body = {
            "address": f"{self.ip}:{APP}",
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "cold_remaining_s": 0},
        }
        return await self._tell("heartbeat", body)

    async def leave(self) -> int:
        """Say that it leaves; return the status."""
        return await self._tell("leave", {})

    async def call(self, parent: str, host: str, path: str) -> int:
        """Send a call for the request ``parent`` through the daemon beside it."""
        assert self.session is not None
        headers = {"Host": host, "Request-Id": f"{parent}.{len(self.ran):x}", "Deadline-Ms": "900"}
        url = f"http://{self.ip}:{OUTBOUND}{path}"
        async with self.session.get(url, headers=headers) as response:
            await response.read()
            return response.status

    async def _tell(self, call: str, body: dict[str, Any]) -> int:
        assert self.session is not None
        url = f"http://{self.ip}:{CONTROL}/finchshed/instances/{self.instance}/{call}"
        try:
            async with self.session.post(url, json=body) as response:
                await response.read()
                self.acknowledged += response.status == 200
                return response.status
        except aiohttp.ClientError:
            return 0

    async def _beat_forever(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, request: web.Request) -> web.Response:
        identity = request.headers.get("Request-Id", "")
        if request.headers.get("Expect-Instance", self.instance) != self.instance:
            return web.Response(status=421, headers={"Instance-Id": self.instance})
        self.ran.append(identity)
        self.headers.append({name.lower(): value for name, value in request.headers.items()})
        response = await self.work(self, request)
        response.headers["Request-Id"] = identity
        response.headers["Server-Seal"] = f"seal-{self.instance}"
        return response


async def echo(backend: Backend, request: web.Request) -> web.Response:
    """Answer with the path, the body and the instance."""
    body = await request.read()
    text = f"{backend.instance} {request.method} {request.path_qs} ".encode()
    return web.Response(body=text + body)


@dataclass(frozen=True)
class Answer:
    """What a client got; names of headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass
class Platform:
    """A running deployment."""

    controls: list[Machine]
    daemons: list[Machine]
    backends: list[Backend]
    session: aiohttp.ClientSession
    requests: int = 0

    async def put(self, document: dict[str, Any] | bytes, control: int = 0) -> int:
        """Offer a configuration to one control node; return the status, 0 for none."""
        data = document if isinstance(document, bytes) else json.dumps(document).encode()
        url = f"http://{self.controls[control].ip}:{CONTROL}/finchshed/config/replace"
        return (await self._call("POST", url, data)).status

    async def put_until_taken(self, document: dict[str, Any]) -> None:
        """Offer a configuration to one control node after the other, as the operator does."""
        await until(lambda: self._try_put(document))

    async def put_until_clear(self, document: dict[str, Any], control: int) -> int:
        """Offer a configuration until the answer is clear; it has to be within the bound."""
        deadline = time.monotonic() + ACKNOWLEDGED_SECONDS
        while (status := await self.put(document, control)) in UNCLEAR:
            assert time.monotonic() < deadline, "no clear answer in time"
        return status

    async def read(self, control: int = 0) -> Answer:
        """Read the configuration at one control node."""
        url = f"http://{self.controls[control].ip}:{CONTROL}/finchshed/config/get"
        return await self._call("GET", url, b"")

    async def ready(self, daemon: int) -> bool:
        """Ask a daemon whether it is ready."""
        url = f"http://{self.daemons[daemon].ip}:{READY}/finchshed/ready"
        return (await self._call("GET", url, b"")).status == 200

    async def ask(
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
    ) -> Answer:
        """Send a client's request to a daemon."""
        self.requests += 1
        headers = {
            "Host": host,
            "Request-Id": identity or f"{self.requests:016x}",
            "Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers |= {"Api-Key": key, "Tenant": "forged"}
        url = f"http://{self.daemons[daemon].ip}:{OUTBOUND}{path}"
        return await self._call(method, url, body, headers)

    async def _try_put(self, document: dict[str, Any]) -> bool:
        for control in range(len(self.controls)):
            if await self.put(document, control) == 200:
                return True
        return False

    async def _call(
        self, method: str, url: str, body: bytes, headers: dict[str, str] | None = None
    ) -> Answer:
        timeout = aiohttp.ClientTimeout(total=5.0)
        try:
            async with self.session.request(
                method, url, data=body or None, headers=headers, timeout=timeout
            ) as response:
                told = {name.lower(): value for name, value in response.headers.items()}
                return Answer(response.status, told, await response.read())
        except (aiohttp.ClientError, TimeoutError):
            return Answer(0, {}, b"")


def rule(prefix: str, service: str, kind: str = "safe", **changed: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
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


def document(version: int, base: int, *rules: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration of the services ``sales`` and ``ledger``."""
    listed = rules or (rule("/buy/", "sales", "unsafe"), rule("/look/", "sales"))
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
            {"name": name, "health_path": "/health", "max_connections": 64} for name in names
        ],
    }


async def until(condition: Callable[[], Awaitable[object]], seconds: float = START_SECONDS) -> None:
    """Wait until ``condition`` holds; fail if it doesn't in time."""
    deadline = time.monotonic() + seconds
    while not await condition():
        assert time.monotonic() < deadline, "the condition did not come to hold"
        await asyncio.sleep(0.05)


@asynccontextmanager
async def platform(
    folder: Path,
    *services: str,
    works: dict[str, Work] | None = None,
    bounds: dict[str, Any] | None = None,
) -> AsyncIterator[Platform]:
    """Run three control nodes and a back end with its daemon for each of ``services``."""
    hosts = [f"{network()}.{1 + number}" for number in range(3 + len(services))]
    seeds = [f"{host}:{CONTROL}" for host in hosts[:3]]
    controls = [
        _machine("control", host, ZONES[number], folder, seeds)
        for number, host in enumerate(hosts[:3])
    ]
    daemons = []
    backends = []
    for number, service in enumerate(services):
        host, zone = hosts[3 + number], ZONES[number % len(ZONES)]
        daemons.append(_machine("daemon", host, zone, folder, seeds, service=service))
        work = (works or {}).get(service, echo)
        backends.append(Backend(service, f"i-{number}", host, zone, work))
    async with AsyncExitStack() as stack:
        for machine in [*controls, *daemons]:
            machine.fields["bounds"] |= bounds or {}
            stack.callback(machine.stop)
            machine.start()
        for backend in backends:
            await stack.enter_async_context(backend)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield Platform(controls, daemons, backends, session)


def _machine(
    role: str, ip: str, zone: str, folder: Path, seeds: list[str], *, service: str = ""
) -> Machine:
    data = folder / f"data-{role}-{ip}"
    data.mkdir(parents=True, exist_ok=True)
    listen = {"control": f"{ip}:{CONTROL}"}
    if role == "daemon":
        listen |= {"outbound": f"{ip}:{OUTBOUND}", "ready": f"{ip}:{READY}"}
    fields = {
        "node_name": f"{role}-{ip.rpartition('.')[2]}",
        "ip": ip,
        "zone": zone,
        "region": "texas",
        "listen": listen,
        "port_range": list(INNER_PORTS),
        "seed_nodes": seeds,
        "bounds": {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_slack": 50},
        "heartbeat_s": HEARTBEAT_SECONDS,
        "data_dir": str(data) if role == "control" else None,
        "service": service,
        "app_addr": f"{ip}:{APP}" if role == "daemon" else "",
        "unknown_field": {"is": "passed over"},
    }
    return Machine(role, ip, zone, data, fields)
