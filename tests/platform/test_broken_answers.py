"""Guards against an answer that isn't whole, or is none, and reaches a client as an answer.

Real processes. A suspended daemon finds what came meanwhile in one wake-up, as a busy one does.
"""

import asyncio
import signal
import socket
import struct
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from aiohttp import web

from tests.daemon.broken_heads import broken_answers
from tests.platform.fake_backend import FakeBackend, Handler, echo
from tests.platform.fake_platform import (
    FakePlatform,
    route,
    run_platform,
    wait_until,
    wait_until_known,
)

PREFIX = "/buy/broken/"
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SUSPENDED_SECONDS = 0.05
AT_ONCE_SECONDS = 1.0
"""Well before the deadline of the requests, on which a client would wait otherwise."""

SILENT_SECONDS = 1.5
AT_A_TIME = 10
ROUNDS = 3
UPLOADS = [0, 1_000, 100_000, 900_000]
SHAPES = [
    "status 000",
    "status 099",
    "status 600",
    "status 999",
    "protocol switched",
    "version 2.0",
    "other protocol",
    "name with 0x00",
    "name with 0x01",
    "name with 0x09",
    "name with 0x20",
    "name with 0x7f",
    "name with 0x80",
    "blank before the colon",
    "no colon",
    "folded by a blank, last",
    "another length",
    "lengths in a list, last",
    "length: negative",
    "length: coding before chunks",
]

Write = Callable[[asyncio.Transport, bytes], None]


def reset(transport: asyncio.Transport) -> None:
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


def answering(write: Write) -> Handler:
    """Return a handler that writes to the connection itself where the path asks for it."""

    async def handle(backend: FakeBackend, request: web.Request) -> web.Response:
        if not request.path.startswith(PREFIX):
            return await echo(backend, request)
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        write(transport, request.headers["Request-Id"].encode())
        # The server itself adds nothing to what was written.
        await asyncio.sleep(SILENT_SECONDS)
        transport.abort()
        raise ConnectionResetError

    return handle


async def statuses_of(running: FakePlatform, count: int, body: bytes = b"") -> list[int]:
    """Return the statuses of requests that are answered brokenly, all at once."""
    sent = (
        running.send_request(f"{PREFIX}{number}", method="POST", body=body)
        for number in range(count)
    )
    return [response.status for response in await asyncio.gather(*sent)]


@pytest.mark.parametrize("upload_bytes", UPLOADS)
async def test_part_of_an_answer_behind_a_reset_does_not_reach_a_client(
    tmp_path: Path, upload_bytes: int
) -> None:
    daemons: list[FakePlatform] = []

    def write(transport: asyncio.Transport, identity: bytes) -> None:
        daemon = daemons[0].daemons[0]
        daemon.signal(signal.SIGSTOP)
        transport.write(HEAD % identity + b"\r\npart")
        reset(transport)
        time.sleep(SUSPENDED_SECONDS)
        daemon.signal(signal.SIGCONT)

    async with run_platform(tmp_path, "sales", handlers={"sales": answering(write)}) as running:
        daemons.append(running)
        await wait_until_known(running, route("/look/", "sales"), route("/buy/", "sales", "unsafe"))
        statuses = []
        for at_a_time in (*[1] * ROUNDS, AT_A_TIME):
            statuses += await statuses_of(running, at_a_time, b"x" * upload_bytes)
        assert set(statuses) == {502}
        assert (await running.send_request("/look/up")).status == 200


async def test_bytes_that_are_no_answer_do_not_reach_a_client(tmp_path: Path) -> None:
    answers = broken_answers()
    current = [b""]

    def write(transport: asyncio.Transport, identity: bytes) -> None:
        named = b"Request-Id: " + identity + b"\r\nServer-Seal: s"
        transport.write(current[0].replace(b"finchshed-request: r1", named))

    async with run_platform(tmp_path, "sales", handlers={"sales": answering(write)}) as running:
        await wait_until_known(running, route("/look/", "sales"), route("/buy/", "sales", "unsafe"))
        for shape in SHAPES:
            current[0] = answers[shape]
            began = time.monotonic()
            assert set(await statuses_of(running, 2)) == {502}, shape
            assert time.monotonic() - began < AT_ONCE_SECONDS, shape
        # Whole, and with nothing wrong: the handler itself is none of the causes.
        head = b"HTTP/1.1 200 OK\r\nfinchshed-request: r1\r\nconnection: close\r\n"
        current[0] = head + b"content-length: 2\r\n\r\nok"
        assert set(await statuses_of(running, 2)) == {200}


async def test_an_answer_that_ends_in_good_order_reaches_its_client(tmp_path: Path) -> None:
    def write(transport: asyncio.Transport, identity: bytes) -> None:
        transport.write(HEAD % identity + b"\r\nall of it")
        transport.write_eof()

    async with run_platform(tmp_path, "sales", handlers={"sales": answering(write)}) as running:
        await wait_until_known(running, route("/look/", "sales"), route("/buy/", "sales", "unsafe"))
        for upload_bytes in UPLOADS:
            response = await running.send_request(
                f"{PREFIX}1", method="POST", body=b"x" * upload_bytes
            )
            assert (response.status, response.body) == (200, b"all of it"), upload_bytes


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
async def test_a_head_that_ends_in_its_middle_does_not_reach_a_client(
    tmp_path: Path, is_reset: bool
) -> None:
    size = [0]

    def write(transport: asyncio.Transport, identity: bytes) -> None:
        whole = HEAD % identity + b"Content-Length: 4\r\nX-Last: 1\r\n\r\nbody"
        transport.write(whole[: size[0]])
        if is_reset:
            reset(transport)
        else:
            transport.write_eof()

    async with run_platform(tmp_path, "sales", handlers={"sales": answering(write)}) as running:
        await wait_until_known(running, route("/look/", "sales"), route("/buy/", "sales", "unsafe"))
        head_bytes = len(HEAD % (b"0" * 16)) + len(b"Content-Length: 4\r\nX-Last: 1\r\n\r\n")
        for size[0] in (1, 12, 17, 30, head_bytes - 12, head_bytes - 2, head_bytes, head_bytes + 3):
            assert set(await statuses_of(running, 3)) == {502}, size[0]

        async def is_logged() -> bool:
            return "bytes received, head not whole" in running.daemons[0].log()

        await wait_until(is_logged, 2.0)
        assert ("connection ended in good order" in running.daemons[0].log()) != is_reset
