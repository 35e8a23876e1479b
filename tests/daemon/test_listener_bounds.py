"""Bounds of what the clients of an HTTP server make it hold and do."""

import asyncio
from unittest.mock import Mock

import pytest

from finchshed.common.memory_budget import MemoryBudget
from finchshed.http.message import Response
from tests.daemon.deployment import eventually
from tests.daemon.listener_client import LIMIT, MANY_REQUESTS, ListenerClient, listener, request


async def test_many_requests_of_one_client_leave_others_their_turn() -> None:
    async with listener() as client:
        address = client.writer.get_extra_info("peername")
        reader, writer = await asyncio.open_connection(*address)
        client.writer.write(request("/a") * MANY_REQUESTS)
        await eventually(lambda: client.handler.handled)
        writer.write(request("/other"))
        await eventually(lambda: any(one.target == "/other" for one in client.handler.handled))
        handled = [one.target for one in client.handler.handled]
        assert handled.index("/other") < MANY_REQUESTS
        assert (await reader.readline()).split()[1] == b"200"
        writer.close()


async def test_requests_of_a_client_that_left_are_not_handled() -> None:
    async with listener() as client:
        client.writer.write(request("/a") * MANY_REQUESTS)
        await eventually(lambda: client.handler.handled)
        client.writer.transport.abort()
        await eventually(lambda: client.server.connections == 0)
        assert len(client.handler.handled) < MANY_REQUESTS


# A head that comes at once must not pass where one in parts would be refused.
async def test_a_head_above_the_limit_is_refused_however_it_comes() -> None:
    async with listener() as client:
        client.server.limits.max_head_bytes = 200
        whole = request("/a", "X-Long: " + "x" * 200)
        client.writer.write(whole)
        status, _ = await client.read()
        assert status == 431
        assert client.handler.handled == []


async def test_empty_lines_without_end_are_refused() -> None:
    async with listener() as client:
        client.server.limits.max_head_bytes = 200
        client.writer.write(b"\r\n" * 200)
        assert (await client.read())[0] == 400


# Each line of a head takes objects that cost a hundred times its bytes.
@pytest.mark.parametrize("is_whole", [True, False])
async def test_a_head_for_which_no_memory_is_left_is_refused(is_whole: bool) -> None:
    memory = MemoryBudget(200_000)
    async with listener(memory=memory) as client:
        head = request("/a", *["a:"] * 1_000)
        client.writer.write(head if is_whole else head[:-2])
        assert await client.read() == (503, b"overload")
        assert client.handler.handled == []
        client.writer.close()
        await eventually(lambda: client.server.connections == 0)
    assert memory.held == 0


async def test_requests_in_progress_leave_memory_for_small_ones() -> None:
    memory = MemoryBudget(400_000)
    async with listener(memory=memory) as client:
        address = client.writer.get_extra_info("peername")
        client.writer.write(request("/held", *["a:"] * 400))
        await eventually(lambda: client.handler.pending)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(request("/held-too", *["a:"] * 400))
        assert (await reader.readline()).split()[1] == b"503"
        writer.close()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(request("/small"))
        assert (await reader.readline()).split()[1] == b"200"
        writer.close()
        client.handler.pending["/held"](Response(200, (), b"whole"))
        assert await client.read() == (200, b"whole")


# Uploads that all hold a part while none finds room for the rest would all be refused.
async def test_an_upload_that_finds_no_room_frees_what_it_holds_at_once() -> None:
    async with listener(spool_bytes=LIMIT) as client:
        body = b"x" * (LIMIT // 2)
        address = client.writer.get_extra_info("peername")
        client.writer.write(request("/first", body=body + body)[: -LIMIT // 2])
        await eventually(lambda: client.spool.held)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(request("/second", body=body + b"x")[:-1])
        await eventually(lambda: client.spool.held == LIMIT)
        client.writer.write(b"x")
        await eventually(lambda: client.spool.held == LIMIT // 2)
        writer.write(b"x")
        assert (await reader.readline()).split()[1] == b"200"
        writer.close()


async def open_further(client: ListenerClient) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open another connection to the server of ``client``."""
    return await asyncio.open_connection(*client.writer.get_extra_info("peername"))


async def is_closed(reader: asyncio.StreamReader) -> bool:
    """Return whether the server closed or reset a connection without sending more."""
    try:
        return await reader.read(1) == b""
    except ConnectionResetError:
        return True


async def test_at_the_bound_the_connection_that_waited_longest_makes_room() -> None:
    async with listener() as client:
        client.server.limits.max_connections = 3
        client.writer.write(request("/held"))
        await eventually(lambda: client.handler.pending)
        streams = [await open_further(client) for _ in range(4)]
        assert all([await is_closed(reader) for reader, _ in streams[:2]])
        for _, writer in streams[2:]:
            writer.write(request("/ordinary"))
        answers = [await reader.readline() for reader, _ in streams[2:]]
        assert [line.split()[1] for line in answers] == [b"200", b"200"]
        assert client.server.connections == 3
        client.handler.pending["/held"](Response(200, (), b"whole"))
        assert await client.read() == (200, b"whole")
        for _, writer in streams:
            writer.close()


async def test_a_request_that_was_read_is_not_cut_for_a_new_connection() -> None:
    async with listener() as client:
        client.server.limits.max_connections = 1
        client.writer.write(request("/held"))
        await eventually(lambda: client.handler.pending)
        reader, writer = await open_further(client)
        assert await is_closed(reader)
        writer.close()
        client.handler.pending["/held"](Response(200, (), b"whole"))
        assert await client.read() == (200, b"whole")


async def test_a_client_that_reads_next_to_nothing_of_its_answer_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with listener() as client:
        client.server.limits.write_seconds = 60.0
        (connection,) = client.server._connections
        unsent = [100_000]
        monkeypatch.setattr(connection, "write_buffer_size", lambda: unsent[0])
        closed = Mock()
        monkeypatch.setattr(connection, "abort", closed)

        def sweep(seconds: float, read_bytes: int) -> bool:
            unsent[0] -= read_bytes
            now = client.server.now + seconds
            monkeypatch.setattr("finchshed.http.server.clock.now", lambda: now)
            client.server.sweep()
            return bool(closed.called)

        assert not sweep(1.0, 0)
        # Slow, but fast enough: it gets its answer.
        assert not any(sweep(10.0, 4_000) for _ in range(20))
        # A byte now and then is no progress, nor is what it sends meanwhile.
        client.writer.write(b"GET")
        assert any(sweep(10.0, 1) for _ in range(7))
        unsent[0] = 0


async def test_a_small_request_finds_memory_in_a_crowd_of_unfinished_heads() -> None:
    memory = MemoryBudget(400_000)
    async with listener(memory=memory) as client:
        crowd = [await open_further(client) for _ in range(20)]
        for _, writer in crowd:
            writer.write(request("/x", *["a:"] * 80)[:-2])
        await eventually(lambda: memory.dropped)
        for _ in range(20):
            assert await client.exchange(request("/small")) == [(200, b"/small ")]
        for _, writer in crowd:
            writer.close()
