"""HTTP server with raw connections: framing, ordering, limits and disconnecting clients."""

import asyncio
from unittest.mock import Mock

import pytest

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.http import connection as http_connection
from finchshed.http.limits import ConnectionLimits
from finchshed.http.message import Response
from finchshed.http.server import HttpServer
from finchshed.http.spool import SpoolBudget
from tests.daemon.deployment import eventually
from tests.daemon.listener_client import LIMIT, MANY_REQUESTS, ScriptedHandler, listener, request


async def test_requests_sent_together_are_answered_in_their_order() -> None:
    async with listener() as client:
        sent = b"".join(request(f"/{number}", body=b"abc") for number in range(20))
        answers = await client.exchange(sent, answers=20)
        assert answers == [(200, f"/{number} abc".encode()) for number in range(20)]
        assert client.spool.held == 0


async def test_a_request_waits_for_the_answer_to_the_one_before_it() -> None:
    async with listener() as client:
        client.writer.write(request("/held"))
        await client.writer.drain()
        await eventually(lambda: client.handler.pending)
        client.writer.write(request("/next"))
        await asyncio.sleep(0.05)
        assert [seen.target for seen in client.handler.handled] == ["/held"]
        client.handler.pending["/held"](Response(200, (), b"first"))
        assert [await client.read(), await client.read()] == [(200, b"first"), (200, b"/next ")]


async def test_a_request_may_come_byte_by_byte_and_in_chunks() -> None:
    async with listener() as client:
        sent = b"PUT /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        sent += b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
        for byte in sent:
            client.writer.write(bytes([byte]))
            await client.writer.drain()
        assert await client.read() == (200, b"/a abcdefg")
        assert client.spool.held == 0


async def test_a_cut_request_is_never_handed_on() -> None:
    async with listener() as client:
        client.writer.write(request("/a", body=b"whole")[:-1])
        await client.writer.drain()
        await asyncio.sleep(0.05)
        client.writer.close()
        await asyncio.sleep(0.05)
        assert client.handler.handled == []
        assert client.spool.held == 0
        assert client.server.connections == 0


async def test_a_caller_that_leaves_gives_its_request_up() -> None:
    async with listener() as client:
        client.writer.write(request("/held", body=b"abc"))
        await eventually(lambda: client.handler.pending)
        assert client.spool.held == 3
        client.writer.transport.abort()
        await eventually(lambda: client.handler.cancelled)
        client.handler.pending["/held"](Response(200, (), b"too late"))
        assert client.spool.held == 0


@pytest.mark.parametrize("chunked", [False, True])
async def test_a_body_past_its_limit_is_refused_and_dropped(chunked: bool) -> None:
    async with listener() as client:
        sent = request("/a", body=bytes(LIMIT + 1))
        if chunked:
            head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            sent = head + b"1f4\r\n" + bytes(500) + b"\r\n"
            sent += b"1f5\r\n" + bytes(501) + b"\r\n0\r\n\r\n"
        assert await client.exchange(sent) == [(503, b"request_too_large")]
        assert client.handler.handled == []
        assert await client.exchange(request("/b")) == [(200, b"/b ")]


async def test_an_endless_body_is_answered_before_its_end() -> None:
    async with listener() as client:
        client.writer.write(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999\r\n\r\n")
        client.writer.write(bytes(http_connection.MAX_DISCARDED_BYTES + 2 * LIMIT))
        assert await client.read() == (503, b"request_too_large")
        assert await client.ended()


async def test_bodies_past_the_spool_are_refused() -> None:
    async with listener(spool_bytes=10) as client:
        assert await client.exchange(request("/a", body=bytes(11))) == [(503, b"overload")]
        assert await client.exchange(request("/a", body=b"0123456789")) == [(200, b"/a 0123456789")]
        assert client.spool.held == 0


async def test_expect_is_answered_before_the_body_is_sent() -> None:
    async with listener() as client:
        head, body = request("/a", "Expect: 100-continue", body=b"abc").split(b"abc")[0], b"abc"
        client.writer.write(head)
        assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        assert await client.exchange(body) == [(200, b"/a abc")]


async def test_expect_of_a_refused_request_is_answered_with_the_refusal() -> None:
    async with listener() as client:
        head = request("/refused", "Expect: 100-continue", body=b"abc")[:-3]
        assert await client.exchange(head) == [(503, b"overload")]
        assert await client.ended()


@pytest.mark.parametrize(
    "sent",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"GET / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
    ],
)
async def test_bytes_that_are_no_request_end_the_connection(sent: bytes) -> None:
    async with listener() as client:
        assert await client.exchange(sent) == [(400, b"malformed")]
        assert await client.ended()
        assert client.handler.handled == []


async def test_close_and_older_versions_end_the_connection() -> None:
    for sent in (request("/a", "Connection: close"), b"GET /a HTTP/1.0\r\nHost: x\r\n\r\n"):
        async with listener() as client:
            assert await client.exchange(sent) == [(200, b"/a ")]
            assert await client.ended()


async def test_what_follows_a_request_that_asks_to_close_is_not_read() -> None:
    async with listener() as client:
        sent = request("/a", "Connection: close") + request("/b", body=b"abc")
        assert await client.exchange(sent) == [(200, b"/a ")]
        assert await client.ended()
        assert [seen.target for seen in client.handler.handled] == ["/a"]


# Bodies of requests that are dropped with their connection would use up the spool for good.
async def test_requests_behind_a_closing_answer_are_dropped_with_their_bodies() -> None:
    async with listener() as client:
        client.writer.write(request("/held") + request("/b", body=b"abc"))
        await eventually(lambda: client.handler.pending)
        # The second one isn't read before the first is answered.
        assert client.spool.held == 0
        client.server.closing = True
        client.handler.pending["/held"](Response(200, (), b"last"))
        assert await client.read() == (200, b"last")
        assert await client.ended()
        assert [seen.target for seen in client.handler.handled] == ["/held"]
        assert client.spool.held == 0


# Closing with unread data resets the connection, by which a client may lose the last answer.
async def test_closing_answer_ends_the_connection_cleanly_with_much_sent_behind_it() -> None:
    async with listener() as client:
        client.writer.write(request("/held"))
        await eventually(lambda: client.handler.pending)
        client.writer.write(request("/b", body=bytes(LIMIT)) * MANY_REQUESTS)
        await asyncio.sleep(0.1)
        client.server.closing = True
        client.handler.pending["/held"](Response(200, (), b"last"))
        assert await client.read() == (200, b"last")
        assert await client.ended()
        assert [seen.target for seen in client.handler.handled] == ["/held"]
        client.writer.close()
        await eventually(lambda: client.server.connections == 0)


# A client would take the rejection for the answer to the request before it.
@pytest.mark.parametrize("rest", [b"nonsense\r\n\r\n", b"GET / HTTP/1.1\r\nnon sense\r\n"])
async def test_requests_before_malformed_bytes_are_answered(rest: bytes) -> None:
    async with listener() as client:
        sent = request("/a") + request("/b", body=b"abc") + rest
        assert await client.exchange(sent, answers=2) == [(200, b"/a "), (200, b"/b abc")]
        assert await client.ended()
        assert client.spool.held == 0


# Data that came in several parts is parsed part by part, each after the answers before it.
def test_buffered_data_behind_a_closing_answer_is_not_parsed() -> None:
    handler = ScriptedHandler()
    connection = HttpServer(handler, SpoolBudget(LIMIT)).make_protocol()
    transport = Mock(spec=asyncio.Transport)
    transport.get_extra_info.return_value = None
    connection.connection_made(transport)
    last = b"GET /b HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n"
    for part in (request("/held"), last, request("/c")):
        connection.data_received(part)
    handler.pending["/held"](Response(200, (), b"first"))
    assert [seen.target for seen in handler.handled] == ["/held", "/b"]


async def test_an_offered_upgrade_is_not_taken() -> None:
    async with listener() as client:
        sent = request("/a", "Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", method="GET")
        assert await client.exchange(sent) == [(200, b"/a ")]
        assert await client.ended()


async def test_head_gets_no_body() -> None:
    async with listener() as client:
        client.writer.write(request("/a", method="HEAD") + request("/b", method="GET"))
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert b"content-length" not in head.lower()
        assert await client.read() == (200, b"/b ")


async def test_a_header_with_a_line_break_is_not_sent() -> None:
    async with listener() as client:
        assert (await client.exchange(request("/injected")))[0][0] == 500


async def test_a_fault_of_the_handler_is_not_taken_for_a_malformed_request() -> None:
    faults: list[object] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: faults.append(context.get("exception")))
    async with listener() as client:
        client.writer.write(request("/fault"))
        assert await client.ended()
    assert any(isinstance(fault, RuntimeError) for fault in faults)


async def test_while_closing_each_answer_is_the_last_of_its_connection() -> None:
    async with listener() as client:
        client.server.closing = True
        assert await client.exchange(request("/a")) == [(200, b"/a ")]
        assert await client.ended()


async def test_a_head_past_its_limit_ends_the_connection() -> None:
    async with listener() as client:
        limit = ConnectionLimits().max_head_bytes
        sent = b"GET / HTTP/1.1\r\nX: " + b"a" * (limit + 10)
        assert await client.exchange(sent) == [(431, b"limit of the head: %d bytes" % limit)]
        assert await client.ended()
        assert client.handler.handled == []


async def test_idle_and_stuck_connections_are_closed() -> None:
    async with listener() as client:
        client.writer.write(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Le")
        await asyncio.sleep(0.05)
        client.server.sweep()
        assert client.server.connections == 1
        client.server.limits.read_seconds = -1.0
        client.server.sweep()
        assert await client.ended()
        assert client.handler.handled == []


async def test_a_request_that_waits_at_the_end_of_a_stop_is_refused_and_given_up() -> None:
    async with listener() as client:
        client.writer.write(request("/held"))
        await eventually(lambda: client.handler.pending)
        client.server.closing = True
        client.server.refuse_waiting(Refused(RefusalReason.DRAINING, 0.0))
        assert await client.read() == (503, b"draining")
        assert client.handler.cancelled == ["/held"]
        client.handler.pending["/held"](Response(200, (), b"late"))
        assert await client.ended()
