"""Guards against clients that make a process hold more than its machine has.

Each test plays one shape of client, with real processes. What is checked doesn't depend on time:
the processes live, their memory and descriptors stay under the stated bounds, and one ordinary
request is answered while the crowd is there and one after it has gone.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from aiohttp import web

from tests.platform.crowds import (
    MAX_HEAD_BYTES,
    ROOM_FOR_END,
    SHORT_LINE,
    Crowd,
    head,
    head_of_short_lines,
    limit_descriptors,
    open_descriptors,
    present,
)
from tests.platform.endless_backend import peak_memory_bytes
from tests.platform.fake_backend import CONTROL_PORT, OUTBOUND_PORT, FakeBackend, echo
from tests.platform.fake_platform import (
    READY_PORT,
    ZONES,
    FakePlatform,
    Machine,
    route,
    run_platform,
    wait_until_known,
)

MEMORY_MEGABYTES = 120
MEGABYTE = 1_000_000
MAX_DESCRIPTORS = 256
SLOW_SECONDS = 3.0
MAX_HELD_SECONDS = 6.0
POLL_SECONDS = 0.05
LONG_ANSWER_BYTES = 2_000_000
SLOW, LONG, LINES, CHUNKS = "/slow/", "/long/", "/lines/", "/chunks/"
ANSWERS_AT_A_TIME = 80
CHUNKED = "Transfer-Encoding: chunked"
FRAMING_BYTES = 250_000
"""Bytes of chunk sizes and their ends that a message may have, nearly."""

UNFINISHED_HEAD = Crowd(300, head("GET", "/look/x"), SHORT_LINE, MAX_HEAD_BYTES - ROOM_FOR_END)
SLOW_REQUEST = head("GET", SLOW) + b"\r\n"

CROWDS = {
    "unfinished-heads": UNFINISHED_HEAD,
    "heads-on-a-slow-route": Crowd(200, head_of_short_lines("GET", SLOW)),
    "tiny-chunks": Crowd(
        150, head("POST", "/buy/x", CHUNKED) + b"\r\n", b"2\r\nxx\r\n", FRAMING_BYTES
    ),
    "behind-a-slow-request": Crowd(60, SLOW_REQUEST, head("GET", "/look/x") + b"\r\n", 300_000),
    "tiny-requests-behind-a-slow-one": Crowd(
        60, SLOW_REQUEST, b"GET /look/x HTTP/1.1\r\n\r\n", 250_000
    ),
    "tiny-requests-of-clients-that-leave": Crowd(
        200, b"", b"GET /look/x HTTP/1.1\r\n\r\n", 250_000, leaves=True
    ),
    "trailers": Crowd(
        120, head("POST", "/buy/x", CHUNKED) + b"\r\n1\r\nx\r\n0\r\n", SHORT_LINE, 250_000
    ),
    "unread-answers": Crowd(80, head("GET", LONG) + b"\r\n"),
}


async def answer(backend: FakeBackend, request: web.Request) -> web.Response:
    """Answer slowly or at length, as the path tells."""
    if request.path == SLOW:
        await asyncio.sleep(SLOW_SECONDS)
    if request.path == LONG:
        return web.Response(body=bytes(LONG_ANSWER_BYTES))
    if request.path in {LINES, CHUNKS}:
        await _answer_in_pieces(backend, request)
    return await echo(backend, request)


async def _answer_in_pieces(backend: FakeBackend, request: web.Request) -> None:
    """Write an answer that costs much, all but its end, and wait until it is given up."""
    identity = request.headers["Request-Id"]
    begin = f"HTTP/1.1 200 OK\r\nRequest-Id: {identity}\r\nServer-Seal: s\r\n".encode()
    transport = request.transport
    assert transport is not None
    if request.path == LINES:
        transport.write(begin + SHORT_LINE * 15_000)
    else:
        transport.write(begin + f"{CHUNKED}\r\n\r\n".encode() + b"2\r\nxx\r\n" * 35_000)
    for _ in range(int(MAX_HELD_SECONDS / POLL_SECONDS)):
        if transport.is_closing():
            break
        await asyncio.sleep(POLL_SECONDS)
    raise ConnectionResetError


@asynccontextmanager
async def run_small(folder: Path) -> AsyncIterator[FakePlatform]:
    """Run two daemons and their control nodes on machines with little memory."""
    async with run_platform(
        folder,
        *("sales", "ledger"),
        handlers={"ledger": answer},
        zones=ZONES[:1],
        fields={"limits": {"memory_mb": MEMORY_MEGABYTES, "max_fds": MAX_DESCRIPTORS}},
    ) as running:
        for backend in running.backends:
            backend.slots = 512
        named = [route(path, "ledger", timeout_s=6.0) for path in (SLOW, LONG, LINES, CHUNKS)]
        await wait_until_known(
            running, route("/look/", "ledger"), route("/buy/", "ledger", "unsafe"), *named
        )
        yield running


async def check_ordinary(running: FakePlatform) -> None:
    """Check that one ordinary request is answered, and that a configuration can be read."""
    assert (await running.send_request("/look/ordinary")).status == 200
    assert (await running.read()).status == 200


def check_machines(machines: list[Machine]) -> None:
    """Check that each process lives within the bounds of its machine."""
    for machine in machines:
        assert machine.process is not None
        assert machine.process.poll() is None
        assert peak_memory_bytes(machine.process.pid) <= MEMORY_MEGABYTES * MEGABYTE


async def play(running: FakePlatform, crowd: Crowd, ip: str, port: int) -> None:
    """Play a crowd and check what must hold."""
    async with present(crowd, ip, port):
        await check_ordinary(running)
    await check_ordinary(running)
    check_machines([*running.daemons, *running.controls])


@pytest.mark.parametrize("name", CROWDS)
async def test_a_crowd_stays_within_the_memory_of_a_daemon(tmp_path: Path, name: str) -> None:
    async with run_small(tmp_path) as running:
        await play(running, CROWDS[name], running.daemons[0].ip, OUTBOUND_PORT)


@pytest.mark.parametrize("port", [READY_PORT, CONTROL_PORT], ids=["ready", "heartbeats"])
async def test_a_crowd_stays_within_the_memory_at_other_ports(tmp_path: Path, port: int) -> None:
    async with run_small(tmp_path) as running:
        await play(running, UNFINISHED_HEAD, running.daemons[0].ip, port)


async def test_a_crowd_stays_within_the_memory_of_a_control_node(tmp_path: Path) -> None:
    async with run_small(tmp_path) as running:
        await play(running, UNFINISHED_HEAD, running.controls[0].ip, CONTROL_PORT)


@pytest.mark.parametrize("path", [LINES, CHUNKS], ids=["lines", "chunks"])
async def test_costly_answers_stay_within_the_memory_of_a_daemon(tmp_path: Path, path: str) -> None:
    async with run_small(tmp_path) as running:
        asked = Crowd(ANSWERS_AT_A_TIME, head("GET", path) + b"\r\n")
        await play(running, asked, running.daemons[0].ip, OUTBOUND_PORT)


@pytest.mark.parametrize("port", [OUTBOUND_PORT, CONTROL_PORT], ids=["requests", "heartbeats"])
async def test_silent_connections_leave_room_for_others(tmp_path: Path, port: int) -> None:
    async with run_small(tmp_path) as running:
        process = running.daemons[0].process
        assert process is not None
        limit_descriptors(process.pid, MAX_DESCRIPTORS)
        crowd = Crowd(2 * MAX_DESCRIPTORS, b"")
        async with present(crowd, running.daemons[0].ip, port):
            await check_ordinary(running)
            assert open_descriptors(process.pid) < MAX_DESCRIPTORS
        await check_ordinary(running)
        check_machines(running.daemons)
