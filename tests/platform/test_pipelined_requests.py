"""Guards against pipelined requests that are answered out of order, or run though never read."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest
from aiohttp import web

from tests.platform.fake_backend import OUTBOUND_PORT, FakeBackend, echo
from tests.platform.fake_platform import (
    FakePlatform,
    route,
    run_platform,
    wait_until,
    wait_until_known,
)

ROUTES = (
    route("/look/", "sales"),
    route("/buy/", "sales", "unsafe"),
    route("/put/", "sales", "upload"),
)
WORK_SECONDS = 0.3
ANSWER_TIMEOUT_SECONDS = 10.0
PIPELINED_REQUESTS = 12

BEHIND = (("GET", "/look/behind"), ("POST", "/buy/behind"), ("POST", "/put/behind"))
"""Requests behind the one whose answer closes the connection, one of each kind."""


async def work_by_path(backend: FakeBackend, request: web.Request) -> web.Response:
    """Answer requests for ``/look/slow...`` after a time, others at once."""
    if request.path.startswith("/look/slow"):
        await asyncio.sleep(WORK_SECONDS)
    return await echo(backend, request)


@dataclass(frozen=True)
class Answer:
    """An answer on a connection of the client."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass
class PipeliningClient:
    """One connection of a client to a daemon."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def read(self) -> Answer:
        """Return the next answer."""
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = [line.partition(":") for line in head[1:] if line]
            headers = {name.lower(): value.strip() for name, _, value in fields}
            body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        return Answer(int(head[0].split()[1]), headers, body)

    async def is_closed(self) -> bool:
        """Return whether the daemon closed the connection without sending more."""
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            return await self.reader.read(1) == b""


@asynccontextmanager
async def connected(running: FakePlatform, daemon: int) -> AsyncIterator[PipeliningClient]:
    """Open a connection to a daemon."""
    ip = running.daemons[daemon].ip
    reader, writer = await asyncio.open_connection(ip, OUTBOUND_PORT)
    yield PipeliningClient(reader, writer)
    writer.close()


def encode(method: str, path: str, identity: str, *headers: str) -> bytes:
    """Return the bytes of one request."""
    body = b"" if method == "GET" else b"order"
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: sales.example",
        f"Request-Id: {identity}",
        "Deadline-Ms: 3000",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def arrived(running: FakePlatform) -> list[str]:
    """Return the identities of the requests that reached a back end, run or not."""
    return [identity for backend in running.backends for _, identity in backend.arrivals]


async def wait_until_arrived(running: FakePlatform, identity: str) -> None:
    async def has_arrived() -> bool:
        return identity in arrived(running)

    await wait_until(has_arrived)


async def check_sent_again(running: FakePlatform, daemon: int) -> None:
    """Check that the requests behind are served, and run once, when the client sends them again."""
    for number, (method, path) in enumerate(BEHIND):
        identity = f"{0xB0 + number:016x}"
        assert identity not in arrived(running)
        body = b"" if method == "GET" else b"order"
        response = await running.send_request(
            path, method=method, body=body, identity=identity, daemon=daemon
        )
        assert response.status == 200
        assert arrived(running).count(identity) == 1


def requests_behind() -> bytes:
    return b"".join(
        encode(method, path, f"{0xB0 + number:016x}")
        for number, (method, path) in enumerate(BEHIND)
    )


async def test_answers_come_in_the_order_of_the_requests(tmp_path: Path) -> None:
    handlers = {"sales": work_by_path}
    async with run_platform(tmp_path, *["sales"] * 3, handlers=handlers) as running:
        await wait_until_known(running, *ROUTES)
        paths = [
            f"/look/{'slow' if number % 3 == 0 else 'fast'}-{number}"
            for number in range(PIPELINED_REQUESTS)
        ]
        identities = [f"{0xA0 + number:016x}" for number in range(PIPELINED_REQUESTS)]
        async with connected(running, 0) as client:
            for path, identity in zip(paths, identities, strict=True):
                await client.send(encode("GET", path, identity))
            answers = [await client.read() for _ in paths]
        assert [answer.status for answer in answers] == [200] * len(paths)
        assert [answer.headers["request-id"] for answer in answers] == identities
        for path, answer in zip(paths, answers, strict=True):
            assert f"GET {path} ".encode() in answer.body


CLOSING_HEADERS = {
    "asked to close": ("Connection: close",),
    "offered an upgrade": ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c"),
}


# A client counts what it sent behind a closing answer as not read, and sends all of it again.
@pytest.mark.parametrize("headers", CLOSING_HEADERS.values(), ids=CLOSING_HEADERS.keys())
@pytest.mark.parametrize("is_together", [True, False], ids=["one write", "later writes"])
async def test_requests_behind_a_closing_answer_reach_no_back_end(
    tmp_path: Path, headers: tuple[str, ...], is_together: bool
) -> None:
    handlers = {"sales": work_by_path}
    async with run_platform(tmp_path, *["sales"] * 3, handlers=handlers) as running:
        await wait_until_known(running, *ROUTES)
        first = f"{0xA0:016x}"
        closing = encode("GET", "/look/slow", first, *headers)
        async with connected(running, 0) as client:
            if is_together:
                await client.send(closing + requests_behind())
            else:
                await client.send(closing)
                await wait_until_arrived(running, first)
                await client.send(requests_behind())
            answer = await client.read()
            assert (answer.status, answer.headers["request-id"]) == (200, first)
            assert answer.headers["connection"] == "close"
            assert await client.is_closed()
        await asyncio.sleep(WORK_SECONDS)
        await check_sent_again(running, 0)


# With much sent behind it, closing at once would reset the connection and lose the answer.
@pytest.mark.parametrize("further_requests", [0, 10_000])
async def test_requests_behind_the_last_answer_of_a_stopping_daemon_reach_no_back_end(
    tmp_path: Path, further_requests: int
) -> None:
    handlers = {"sales": work_by_path}
    async with run_platform(tmp_path, *["sales"] * 3, handlers=handlers) as running:
        await wait_until_known(running, *ROUTES)
        first, further = f"{0xA0:016x}", f"{0xC0:016x}"
        async with connected(running, 0) as client:
            await client.send(encode("GET", "/look/slow", first) + requests_behind())
            await wait_until_arrived(running, first)
            running.daemons[0].signal(signal.SIGTERM)
            client.writer.write(encode("GET", "/look/further", further) * further_requests)
            answer = await client.read()
            assert (answer.status, answer.headers["request-id"]) == (200, first)
            assert answer.headers["connection"] == "close"
            assert await client.is_closed()
        await asyncio.sleep(WORK_SECONDS)
        assert further not in arrived(running)
        await check_sent_again(running, 1)
