"""Servers, clients, operator and platform."""

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from deployment_2.machines import APP, CONTROL, HEARTBEAT_S, OUTBOUND, READY, Deployment, Machine
from deployment_2.wire import Answer, Message, call, encode, read_message

HOST = "hulo84.example"
WORK_S = 0.02
IDLE_CLOSE_S = 10.0
"""Time after which a server closes an idle connection; told in ``Keep-Alive``."""

CLIENT_SLACK_S = 0.3


@dataclass(frozen=True)
class Run:
    """A request that a server ran."""

    at: float
    server: str
    service: str
    request: str
    method: str
    path: str
    caller: str
    headers: dict[str, str]


class Server:
    """A server beside a daemon. Each start is a new incarnation with a new id and a later birth."""

    def __init__(self, deployment: Deployment, machine: Machine, *, slots: int = 16) -> None:
        self.deployment, self.machine, self.service, self.slots = (
            deployment,
            machine,
            machine.service,
            slots,
        )
        self.id, self.born, self.sequence, self.starts = "", 0, 0, 0
        self.runs: list[Run] = []
        self.acks: list[float] = []
        self.work: Callable[[Message], Awaitable[None]] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._running = 0
        deployment.servers.append(self)

    async def start(self) -> None:
        """Start as a new incarnation; heartbeats begin at once."""
        self.starts += 1
        self.id = f"i-{self.machine.ip.rpartition('.')[2]}-{self.starts}"
        self.born, self.sequence = int(time.time() * 1000), 0
        self._server = await asyncio.start_server(self._serve, self.machine.ip, APP)
        self._beats = asyncio.create_task(self._send_beats())
        self.deployment.record(
            "server-start", server=self.id, service=self.service, machine=self.machine.ip
        )

    def crash(self) -> None:
        """End at once: the port refuses, all connections are reset."""
        assert self._server is not None
        assert self._beats is not None
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.deployment.record("server-crash", server=self.id, machine=self.machine.ip)

    def close(self) -> None:
        """End at the end of the case."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def heartbeat(self, state: str = "ready") -> dict[str, Any]:
        """Return the next heartbeat of this incarnation."""
        self.sequence += 1
        return {
            "born": self.born,
            "address": f"{self.machine.ip}:{APP}",
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.machine.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "sequence": self.sequence, "cold_remaining_s": 0},
        }

    async def post(self, what: str, body: dict[str, Any], instance: str = "") -> int:
        """Send a message about an incarnation to the daemon of this machine; return the status."""
        path = f"/finchshed/instances/{instance or self.id}/{what}"
        headers = {"Host": self.machine.ip, "Content-Type": "application/json"}
        data = json.dumps(body).encode()
        answer = await call((self.machine.ip, CONTROL), "POST", path, headers, data, seconds=1.0)
        return answer.status

    async def _send_beats(self) -> None:
        while True:
            if await self.post("heartbeat", self.heartbeat()) == 200:
                self.acks.append(self.deployment.now())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while (request := await self._next(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _next(self, reader: asyncio.StreamReader) -> Message | None:
        """Return the next request; None if the connection ended or was idle for too long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_CLOSE_S):
                return await read_message(reader)
        return None

    async def _answer(self, request: Message) -> bytes:
        method, path, _ = request.first.split(" ", 2)
        load = {
            "Server-Load": f"{self._running},0,{self.slots}",
            "Keep-Alive": f"timeout={IDLE_CLOSE_S:.0f}",
        }
        if path == "/health":
            return encode("HTTP/1.1 200 OK", {"Instance-Id": self.id} | load, b"")
        named = request.headers.get("request-id", "")
        expected = request.headers.get("expect-instance", "")
        refusal = {"Request-Id": named, "Not-Executed": "1"} | load
        if not named:
            return encode("HTTP/1.1 400 Bad Request", {"Not-Executed": "1"}, b"")
        if expected and expected != self.id:
            return encode(
                "HTTP/1.1 421 Misdirected Request", refusal | {"Instance-Id": self.id}, b""
            )
        if self._running >= self.slots:
            return encode("HTTP/1.1 503 Service Unavailable", refusal, b"")
        caller = request.headers.get("caller-service", "")
        run = Run(
            self.deployment.now(),
            self.id,
            self.service,
            named,
            method,
            path,
            caller,
            request.headers,
        )
        self.runs.append(run)
        self.deployment.record(
            "ran", request=named, server=self.id, service=self.service, path=path, caller=caller
        )
        self._running += 1
        try:
            if self.work is None:
                await asyncio.sleep(WORK_S)
            else:
                await self.work(request)
        finally:
            self._running -= 1
        body = f"{named} {path} by {self.id}".encode()
        return encode(
            "HTTP/1.1 200 OK", {"Request-Id": named, "Server-Seal": f"seal.{named}"} | load, body
        )


@dataclass
class Attempt:
    """A client attempt and what became of it."""

    id: str
    machine: str
    path: str
    sent: float
    answered: float
    answer: Answer


class Clients:
    """Clients on the side machines; each attempt has an id of its own."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.attempts: list[Attempt] = []
        self._sent = 0

    async def send(
        self,
        machine: Machine,
        path: str,
        *,
        method: str = "GET",
        deadline_s: float = 5.0,
        body: bytes = b"",
        patience_s: float | None = None,
        offered: dict[str, str] | None = None,
    ) -> Attempt:
        """Send one attempt to the daemon of a machine; wait ``patience_s``, or for its deadline.

        ``offered`` are headers that concern the connection.
        """
        self._sent += 1
        request = f"{self._sent:016x}"
        headers = {"Host": HOST, "Request-Id": request, "Deadline-Ms": str(int(deadline_s * 1000))}
        headers |= offered or {}
        sent = self.deployment.now()
        self.deployment.record(
            "sent", request=request, machine=machine.ip, method=method, path=path
        )
        seconds = deadline_s + CLIENT_SLACK_S if patience_s is None else patience_s
        answer = await call((machine.ip, OUTBOUND), method, path, headers, body, seconds=seconds)
        attempt = Attempt(request, machine.ip, path, sent, self.deployment.now(), answer)
        self.attempts.append(attempt)
        text = answer.body[:60].decode("latin-1").replace(" ", "_")
        self.deployment.record(
            "answered", request=request, status=answer.status, text=text, problem=answer.problem
        )
        return attempt


class Operator:
    """The operator; an order whose answer is unclear is sent again, to any control machine."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment

    async def put_once(self, document: dict[str, Any], machine: Machine) -> Answer:
        """Send a configuration to one machine; one second without reply leaves it unclear."""
        headers = {"Host": machine.ip, "Content-Type": "application/json"}
        data = json.dumps(document).encode()
        answer = await call(
            (machine.ip, CONTROL), "POST", "/finchshed/config/replace", headers, data, seconds=1.0
        )
        self.deployment.record(
            "order",
            version=document["version"],
            machine=machine.ip,
            status=answer.status,
            problem=answer.problem,
        )
        return answer

    async def put(self, document: dict[str, Any], seconds: float, *, first: int = 0) -> int:
        """Send a configuration until the answer is clear; return its status, 0 for none."""
        end, number = time.monotonic() + seconds, first
        while time.monotonic() < end:
            machine = self.deployment.controls[number % len(self.deployment.controls)]
            number += 1
            answer = await self.put_once(document, machine)
            if answer.status in (200, 400, 409, 412, 413, 422):
                return answer.status
            await asyncio.sleep(min(1.0, 0.1 * number))
        return 0

    async def get(self, machine: Machine) -> Answer:
        """Read the configuration from one machine."""
        headers = {"Host": machine.ip}
        answer = await call(
            (machine.ip, CONTROL), "GET", "/finchshed/config/get", headers, seconds=1.0
        )
        self.deployment.record(
            "read", machine=machine.ip, status=answer.status, body=answer.body[:40]
        )
        return answer


async def is_ready(machine: Machine) -> bool:
    """Ask a daemon whether it is ready, as the platform does once a second."""
    headers = {"Host": machine.ip}
    answer = await call((machine.ip, READY), "GET", "/finchshed/ready", headers, seconds=1.0)
    return answer.status == 200


async def wait_for(condition: Callable[[], Awaitable[object]], seconds: float) -> bool:
    """Return whether ``condition`` came to hold within ``seconds``."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


def route(prefix: str, service: str, kind: str = "safe", timeout_s: float = 5.0) -> dict[str, Any]:
    """Return a route of a configuration."""
    action = {"service": service, "timeout_s": timeout_s, "max_attempts": 2}
    return {
        "name": f"r-{prefix.strip('/')}",
        "kind": kind,
        "target_latency_s": 1.5,
        "priority": 1,
        "match": {"path_prefix": prefix},
        "action": action,
    }


def configuration(
    version: int, base: int, services: list[str], *routes: dict[str, Any]
) -> dict[str, Any]:
    """Return a whole configuration."""
    clusters = [
        {
            "name": name,
            "health_path": "/health",
            "max_connections": 364,
            "protocol": "h1",
            "tls": False,
        }
        for name in services
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    }
    return {
        "version": f"r{version}",
        "base_version": f"r{base}" if base else 0,
        "limits": limits,
        "listeners": [{"host": HOST, "ruleset": list(routes)}],
        "clusters": clusters,
    }
