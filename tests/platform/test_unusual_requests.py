"""Guards against limits that turn away single requests inside the stated ones, in calm."""

import asyncio
from pathlib import Path

import pytest

from tests.platform.crowds import MAX_HEAD_BYTES, SHORT_LINE, head, head_of_short_lines
from tests.platform.fake_backend import OUTBOUND_PORT
from tests.platform.fake_platform import route, run_platform, wait_until_known

MEMORY_MEGABYTES = 120
PIPELINED = 200
BODY = b"x" * 20_000
ONE_BYTE_CHUNKS = b"1\r\nx\r\n" * len(BODY)

REQUESTS = {
    "head-of-short-lines": (head_of_short_lines("GET", "/look/x", MAX_HEAD_BYTES), 1),
    "tiny-chunks": (
        head("POST", "/buy/x", "Transfer-Encoding: chunked")
        + b"\r\n"
        + ONE_BYTE_CHUNKS
        + b"0\r\n\r\n",
        1,
    ),
    "trailers": (
        head("POST", "/buy/x", "Transfer-Encoding: chunked")
        + b"\r\n1\r\nx\r\n0\r\n"
        + SHORT_LINE * 1_000
        + b"\r\n",
        1,
    ),
    "pipelined": ((head("GET", "/look/x") + b"\r\n") * PIPELINED, PIPELINED),
}
"""What a client sends at once, and how many requests that is."""


async def read_status(reader: asyncio.StreamReader) -> int:
    """Read one whole answer; return its status."""
    answer = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = answer.partition(b"content-length: ")[2].partition(b"\r\n")[0]
    await reader.readexactly(int(length))
    return int(answer.split()[1])


@pytest.mark.parametrize("name", REQUESTS)
@pytest.mark.parametrize("piece_bytes", [1_000_000, 7], ids=["at-once", "in-small-pieces"])
async def test_a_single_unusual_request_is_served(
    tmp_path: Path, name: str, piece_bytes: int
) -> None:
    message, requests = REQUESTS[name]
    fields = {"limits": {"memory_mb": MEMORY_MEGABYTES}}
    async with run_platform(tmp_path, "sales", "ledger", fields=fields) as running:
        await wait_until_known(
            running, route("/look/", "ledger"), route("/buy/", "ledger", "unsafe")
        )
        reader, writer = await asyncio.open_connection(running.daemons[0].ip, OUTBOUND_PORT)
        for at in range(0, len(message), piece_bytes):
            writer.write(message[at : at + piece_bytes])
            await writer.drain()
        statuses = [await read_status(reader) for _ in range(requests)]
        writer.transport.abort()
    assert statuses == [200] * requests
