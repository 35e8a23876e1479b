"""Admin HTTP endpoint of a process: ``/metrics``, ``/healthz``, ``/ring`` and program handlers.

Uses aiohttp's low-level server in the program's event loop, without additional threads.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeAlias

import msgspec
from aiohttp import web
from loguru import logger
from prometheus_client import REGISTRY, CollectorRegistry

from finchshed.observability import metrics_page, ring
from finchshed.observability.health import Health

Handler: TypeAlias = Callable[[Mapping[str, str]], Awaitable[msgspec.Struct]]
"""Answers a GET request, given the query parameters, with a struct encoded as JSON."""


class RingDumped(msgspec.Struct, frozen=True):
    """Response of ``POST /ring``; ``path`` is empty if the dump went to standard error."""

    path: str


class Problem(msgspec.Struct, frozen=True):
    """Error response."""

    problem: str


@dataclass(slots=True)
class AdminServer:
    """Serves the state of a process to operators and monitoring.

    Parameters
    ----------
    address
        Listen address ``a.b.c.d:port``; port 0 selects a free port.
    health
        Returns the health status of the process.
    handlers
        Handlers of additional GET paths.
    registry
        Metrics registry to render.
    """

    address: str
    health: Callable[[], Health]
    handlers: Mapping[str, Handler] = field(default_factory=dict)
    registry: CollectorRegistry = REGISTRY
    _runner: web.ServerRunner | None = None

    async def start(self) -> str:
        """Start serving; return the bound address."""
        host, _, port = self.address.rpartition(":")
        server = web.Server(self._serve, access_log=None)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, int(port))
        await site.start()
        bound = self._runner.addresses[0]
        return f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._route(request)
        except Exception as error:
            logger.opt(exception=error).error("admin request {} failed", request.path)
            return _json(Problem(problem=repr(error)), status=500)

    async def _route(self, request: web.BaseRequest) -> web.StreamResponse:
        match request.method, request.path:
            case "GET", "/metrics":
                return self._metrics()
            case "GET", "/healthz":
                health = self.health()
                return _json(health, status=200 if health.healthy else 503)
            case "GET", "/ring":
                return _json_lines(ring.current().encode("asked for over HTTP"))
            case "POST", "/ring":
                path = ring.dump("asked for by an operator")
                return _json(RingDumped(path=str(path) if path else ""))
            case "GET", path if path in self.handlers:
                return _json(await self.handlers[path](dict(request.query)))
            case _:
                return _json(Problem(problem="no such path or method"), status=404)

    def _metrics(self) -> web.Response:
        body = metrics_page.render(self.registry)
        return web.Response(body=body, headers={"Content-Type": metrics_page.CONTENT_TYPE})


def _json(message: Any, status: int = 200) -> web.Response:
    body = msgspec.json.encode(message)
    return web.Response(body=body, status=status, content_type="application/json")


def _json_lines(body: bytes) -> web.Response:
    return web.Response(body=body, content_type="application/x-ndjson")
