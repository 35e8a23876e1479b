"""Local fake of the platform: machines on loopback addresses, their back ends and an operator."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp

from tests.platform.fake_backend import (
    APP_PORT,
    CONTROL_PORT,
    HEALTH_PATH,
    HEARTBEAT_SECONDS,
    OUTBOUND_PORT,
    FakeBackend,
    Handler,
    echo,
)

ROOT = Path(__file__).parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
READY_PORT = 8302
INTERNAL_PORTS = (7620, 7635)
START_TIMEOUT_SECONDS = 30.0

INDETERMINATE_STATUSES = frozenset({0, 503})
"""Statuses after which an operator sends the same configuration again."""

DECISION_TIMEOUT_SECONDS = 4.0
"""Time within which a stable control group must accept or reject a configuration."""


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
