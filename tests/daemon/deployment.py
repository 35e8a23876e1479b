"""A test deployment: fake control, fake back ends, real daemon processes and an edge."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

import aiohttp
from yarl import URL

from finchshed.common.context import HEADER_IDEMPOTENCY_KEY, HEADER_SERVICE
from finchshed.configuration.resources import Endpoint, Policy, Resource, Route, Service
from finchshed.ledger.keys import new_key
from tests.daemon.processes import DaemonProcess
from tests.daemon.scripted_backend import Handler, ScriptedBackend, echo, healthy
from tests.daemon.scripted_control import ScriptedControl

SERVICE = "licence"
MAX_BODY_BYTES = 100_000
POLL_SECONDS = 0.005

SERVICE_DECLARATION = Service(
    name=SERVICE,
    routes=(
        Route(prefix="/"),
        Route(prefix="/buy", repeatable=False),
        Route(prefix="/session", session=True),
    ),
    deadline_seconds=5.0,
    max_body_bytes=MAX_BODY_BYTES,
    max_sessions=4,
    session_idle_seconds=1.0,
)


@dataclass(frozen=True)
class Answer:
    """Response received by a client at the edge."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def ran(self) -> str:
        """The ``finchshed-ran`` header: ``no`` or ``unknown``; empty for the back end's answer."""
        return self.headers.get("finchshed-ran", "")

    @property
    def reason(self) -> str:
        """The ``finchshed-reason`` header, or empty."""
        return self.headers.get("finchshed-reason", "")


@dataclass
class Deployment:
    """The running components of a deployment."""

    control: ScriptedControl
    backends: list[ScriptedBackend]
    daemons: list[DaemonProcess]
    edge: DaemonProcess
    session: aiohttp.ClientSession

    async def ask(
        self,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        *,
        edge: DaemonProcess | None = None,
        **headers: str,
    ) -> Answer:
        """Send a request through ``edge``; underscores in header names become hyphens."""
        sent = {HEADER_SERVICE: SERVICE}
        sent.update({name.replace("_", "-"): value for name, value in headers.items()})
        url = URL(f"http://{(edge or self.edge).http_address}{path}", encoded=True)
        async with self.session.request(method, url, data=body or None, headers=sent) as response:
            received = {name.lower(): value for name, value in response.headers.items()}
            return Answer(response.status, received, await response.read())

    async def buy(self, key: str, path: str = "/buy/1") -> Answer:
        """Send a non-repeatable request."""
        return await self.ask(path, "POST", b"order", **{HEADER_IDEMPOTENCY_KEY: key})

    def runs(self, path: str) -> int:
        """Return how many requests for ``path`` the back ends received."""
        return sum(backend.paths().count(path) for backend in self.backends)


async def eventually(condition: Callable[[], object], seconds: float = 5.0) -> None:
    """Wait until ``condition`` holds; fail after ``seconds``."""
    for _ in range(int(seconds / POLL_SECONDS)):
        if condition():
            return
        await asyncio.sleep(POLL_SECONDS)
    raise AssertionError(f"the condition did not hold within {seconds} s")


_keys = random.Random(7)


def make_key(age_seconds: float = 0.0) -> str:
    """Return a new idempotency key."""
    return new_key(time.time() - age_seconds, _keys)


def resources_for(
    daemons: list[DaemonProcess], service: Service = SERVICE_DECLARATION, retry_budget: int = 3
) -> tuple[Resource, ...]:
    """Return a configuration that declares ``daemons`` as endpoints."""
    endpoints = [
        Endpoint(
            name=daemon.node,
            service=SERVICE,
            region=daemon.region,
            zone=daemon.zone,
            address=daemon.link_address,
            slots=8,
        )
        for daemon in daemons
    ]
    return (service, Policy(retry_budget=retry_budget), *endpoints)


@asynccontextmanager
async def deployment(
    *handlers: Handler,
    flags: dict[str, str] | None = None,
    retry_budget: int = 3,
    health: Handler = healthy,
    service: Service = SERVICE_DECLARATION,
) -> AsyncIterator[Deployment]:
    """Run an edge, and a back end with its daemon for each handler (default: one echo handler)."""
    async with AsyncExitStack() as stack:
        control = await stack.enter_async_context(ScriptedControl(()))
        backends = []
        daemons = []
        for number, handler in enumerate(handlers or (echo,), start=1):
            backend = await stack.enter_async_context(ScriptedBackend(handler, health))
            backends.append(backend)
            daemons.append(
                DaemonProcess(
                    node=f"licence-{number}",
                    control_address=control.address,
                    service=SERVICE,
                    backend_address=backend.address,
                    flags=flags or {},
                )
            )
        control.resources = resources_for(daemons, service, retry_budget)
        edge = DaemonProcess(node="edge", control_address=control.address, flags=flags or {})
        for daemon in [*daemons, edge]:
            await stack.enter_async_context(daemon)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield Deployment(control, backends, daemons, edge, session)
