"""Back ends in trouble in the soak: answers that aren't whole or are none, and their check."""

import asyncio
import random
import socket
import struct
import time
from dataclasses import dataclass

from aiohttp import web

from tests.daemon.broken_heads import broken_answers
from tests.platform.fake_backend import FakeBackend, Handler
from tests.platform.soak_state import Soak, freeze

BROKEN_FRACTION = 0.05
"""Fraction of the answers that are broken."""

RESET_FRACTION = 0.5
"""Fraction of those that are a part of an answer without a length, and a reset."""

BROKEN_SEAL = "broken"
SILENT_SECONDS = 0.2
HELD_UP_SECONDS = (0.02, 0.1)
HELD_UP_PAUSE_SECONDS = (0.05, 0.4)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEADS = tuple(broken_answers().values())


@dataclass
class BrokenAnswers:
    """What back ends break, by chance; ``rng`` decides. Nothing while ``is_over``."""

    rng: random.Random
    is_over: bool = True
    count: int = 0


def with_broken_answers(handler: Handler, plan: BrokenAnswers) -> Handler:
    """Return a handler that now and then writes what is no whole answer."""

    async def answer(backend: FakeBackend, request: web.Request) -> web.Response:
        transport = request.transport
        is_broken = not plan.is_over and plan.rng.random() < BROKEN_FRACTION
        if not is_broken or transport is None or "Request-Id" not in request.headers:
            return await handler(backend, request)
        plan.count += 1
        identity = f"Request-Id: {request.headers['Request-Id']}\r\nServer-Seal: {BROKEN_SEAL}"
        if plan.rng.random() < RESET_FRACTION:
            transport.write(f"HTTP/1.1 200 OK\r\n{identity}\r\n\r\npart".encode())
            connection = transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        else:
            head = plan.rng.choice(HEADS)
            transport.write(head.replace(b"finchshed-request: r1", identity.encode()))
            await asyncio.sleep(SILENT_SECONDS)
        transport.abort()
        return web.Response()

    return answer


async def hold_up_daemons(soak: Soak, end: float, rng: random.Random) -> None:
    """Suspend daemons for moments, so that each finds what came meanwhile in one wake-up."""
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(*HELD_UP_PAUSE_SECONDS))
        daemon = rng.randrange(len(soak.running.daemons))
        await freeze(soak, daemon, rng.uniform(*HELD_UP_SECONDS))


def broken_violations(soak: Soak) -> list[str]:
    """Return answers that reached a client though they aren't whole, or are none."""
    return [
        f"{request.identity}: a broken answer reached its client, status {request.status}"
        for request in soak.sent
        if request.headers.get("server-seal") == BROKEN_SEAL
    ]
