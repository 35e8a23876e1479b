"""Guards against requests without end that fill the memory of a daemon or hold its connections."""

import asyncio
import time
from pathlib import Path

import pytest

from tests.platform.endless_backend import peak_memory_bytes
from tests.platform.fake_backend import OUTBOUND_PORT
from tests.platform.fake_platform import (
    ZONES,
    FakePlatform,
    route,
    run_platform,
    wait_until_known,
)

MEMORY_MEGABYTES = 200
MEGABYTE = 1_000_000
PIECE_BYTES = 65_536
CLIENTS = 6
CLOSED_WITHIN_SECONDS = 2.0
"""Time within which the daemon ends such a connection."""

MIN_SERVED_RATIO = 0.99

HEAD = b"POST /buy/e HTTP/1.1\r\nHost: sales.example\r\nRequest-Id: e1\r\nDeadline-Ms: 5000\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

SHAPES = {
    "target": (b"GET /look/", b"x"),
    "header name": (HEAD, b"x"),
    "header value": (HEAD + b"X-Long: ", b"x"),
    "headers": (HEAD, b"X-Some: value\r\n"),
    "length": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", b"x"),
    "chunks": (CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n"),
    "chunk extension": (CHUNKED + b"1;a=", b"x"),
    "trailer": (CHUNKED + b"1\r\nx\r\n0\r\nX-Long: ", b"x"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Some: value\r\n"),
    "after a request": (HEAD + b"Content-Length: 2\r\n\r\nok", b"x"),
}
"""Where a request goes on: the bytes before, and those that are repeated."""


async def seconds_until_ended(running: FakePlatform, shape: str) -> float:
    """Return how long the daemon let a client send a request without end."""
    begin, repeated = SHAPES[shape]
    piece = repeated * (PIECE_BYTES // len(repeated))
    reader, writer = await asyncio.open_connection(running.daemons[0].ip, OUTBOUND_PORT)
    began = time.monotonic()
    reading = asyncio.ensure_future(reader.read())
    writer.write(begin)
    try:
        while not reading.done() and time.monotonic() - began < 2 * CLOSED_WITHIN_SECONDS:
            if writer.transport.get_write_buffer_size() < PIECE_BYTES:
                writer.write(piece)
            await asyncio.sleep(0)
    except ConnectionError:
        pass
    seconds = time.monotonic() - began
    writer.transport.abort()
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)
    return seconds


async def test_endless_requests_are_ended_and_others_are_served(tmp_path: Path) -> None:
    async with run_platform(
        tmp_path,
        *["sales"] * 2,
        zones=ZONES[:1],
        fields={"limits": {"memory_mb": MEMORY_MEGABYTES}},
    ) as running:
        await wait_until_known(running, route("/look/", "sales"), route("/buy/", "sales", "unsafe"))
        statuses: list[int] = []

        async def send_small() -> None:
            while True:
                statuses.append((await running.send_request("/look/small")).status)
                await asyncio.sleep(0.005)

        sending = asyncio.ensure_future(send_small())
        ends = {}
        for shape in SHAPES:
            clients = (seconds_until_ended(running, shape) for _ in range(CLIENTS))
            ends[shape] = max(await asyncio.gather(*clients))
        sending.cancel()
        process = running.daemons[0].process
        assert process is not None
        assert process.poll() is None
        assert peak_memory_bytes(process.pid) <= MEMORY_MEGABYTES * MEGABYTE
    assert {shape for shape, seconds in ends.items() if seconds > CLOSED_WITHIN_SECONDS} == set()
    assert statuses.count(200) / len(statuses) >= MIN_SERVED_RATIO


@pytest.mark.parametrize("chunk_bytes", [16, 4096])
async def test_honest_chunks_and_trailers_are_taken(tmp_path: Path, chunk_bytes: int) -> None:
    body = bytes(range(256)) * 256
    chunks = b"".join(
        b"%x;part=1\r\n" % len(part) + part + b"\r\n"
        for part in (body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes))
    )
    async with run_platform(tmp_path, "sales", zones=ZONES[:1]) as running:
        await wait_until_known(running, route("/look/", "sales"), route("/buy/", "sales", "unsafe"))
        reader, writer = await asyncio.open_connection(running.daemons[0].ip, OUTBOUND_PORT)
        writer.write(CHUNKED + chunks + b"0\r\nCaller-Service: forged\r\nX-Late: 1\r\n\r\n")
        assert (await reader.readline()).split()[1] == b"200"
        writer.transport.abort()
        given = running.backends[0].headers[-1]
    assert given["caller-service"] == "sales"
    assert "x-late" not in given
    assert given["content-length"] == str(len(body))
