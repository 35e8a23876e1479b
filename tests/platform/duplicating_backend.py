"""Back end that turns some requests away, and sends copies of its answers on the same connection.

A copy comes after its answer, or takes the place of the answer to a later request on the
connection, whose own answer follows it.
"""

import asyncio
import enum
import random
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from tests.platform.fake_backend import HEALTH_PATH, FakeBackend

SOON_SECONDS = 0.001
LATER_SECONDS = 0.008
SEVERAL_REQUESTS = 3
REFUSED_STATUS = 503


class CopyTime(enum.Enum):
    """When a copy of an answer is sent."""

    SOON = "soon"
    LATER = "later"
    NEXT_REQUEST = "next_request"
    SEVERAL_REQUESTS = "several_requests"


@dataclass
class HeldCopy:
    """A copy that is sent when ``requests`` more requests have come in on its connection."""

    data: bytes
    requests: int


@dataclass
class DuplicationPlan:
    """What back ends do, by chance; ``rng`` decides.

    Attributes
    ----------
    refused_fraction
        Fraction of the requests that are turned away without running.
    copied_fraction
        Fraction of the answers that are sent once more.
    times
        When copies are sent.
    copies_health
        Whether answers to health checks are copied, too.
    """

    rng: random.Random
    refused_fraction: float = 0.3
    copied_fraction: float = 0.3
    times: tuple[CopyTime, ...] = tuple(CopyTime)
    copies_health: bool = True
    copies: int = 0


@dataclass
class DuplicatingBackend(FakeBackend):
    """A back end that follows ``plan``; without one it answers each request once."""

    plan: DuplicationPlan | None = None
    _held: dict[Any, deque[HeldCopy]] = field(default_factory=dict)

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        transport = request.transport
        self._send_due_copies(transport)
        identity = request.headers.get("Request-Id", "")
        if self._is_turned_away(request):
            self.arrivals.append((time.monotonic(), identity))
            response: web.Response = self._turn_away(identity)
        else:
            response = await super()._handle_request(request)
        if self._is_copied(request):
            self._plan_copy(transport, encode(response))
        return response

    def _is_turned_away(self, request: web.Request) -> bool:
        plan = self.plan
        if plan is None or request.path == HEALTH_PATH:
            return False
        return plan.rng.random() < plan.refused_fraction

    def _turn_away(self, identity: str) -> web.Response:
        headers = {"Not-Executed": "1", **self.headers_of(identity)}
        return web.Response(status=REFUSED_STATUS, headers=headers)

    def _is_copied(self, request: web.Request) -> bool:
        plan = self.plan
        if plan is None or (request.path == HEALTH_PATH and not plan.copies_health):
            return False
        return plan.rng.random() < plan.copied_fraction

    def _plan_copy(self, transport: Any, data: bytes) -> None:
        assert self.plan is not None
        self.plan.copies += 1
        copy_time = self.plan.rng.choice(self.plan.times)
        loop = asyncio.get_running_loop()
        match copy_time:
            case CopyTime.SOON:
                loop.call_later(SOON_SECONDS, send, transport, data)
            case CopyTime.LATER:
                loop.call_later(LATER_SECONDS, send, transport, data)
            case CopyTime.NEXT_REQUEST:
                self._hold(transport, HeldCopy(data, 1))
            case CopyTime.SEVERAL_REQUESTS:
                self._hold(transport, HeldCopy(data, SEVERAL_REQUESTS))

    def _hold(self, transport: Any, copy: HeldCopy) -> None:
        self._held.setdefault(transport, deque()).append(copy)

    def _send_due_copies(self, transport: Any) -> None:
        held = self._held.get(transport)
        if held is None:
            return
        for copy in list(held):
            copy.requests -= 1
            if copy.requests <= 0:
                held.remove(copy)
                send(transport, copy.data)


def send(transport: Any, data: bytes) -> None:
    """Write to a connection that is still open."""
    if not transport.is_closing():
        transport.write(data)


def encode(response: web.Response) -> bytes:
    """Return the bytes of an answer whose body is in memory."""
    body = response.body or b""
    assert isinstance(body, bytes)
    lines = [f"HTTP/1.1 {response.status} {response.reason}", f"Content-Length: {len(body)}"]
    lines += [
        f"{name}: {value}"
        for name, value in response.headers.items()
        if name.lower() not in {"content-length", "date", "server"}
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body
