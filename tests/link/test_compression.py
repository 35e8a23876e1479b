"""Compressed links carry the same messages in fewer bytes and close on malformed data."""

import asyncio
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchshed.admission.load_report import LoadReport
from finchshed.common.errors import ProtocolError
from finchshed.common.outcomes import Answered
from finchshed.link.compression import MAX_CHUNK_BYTES, LineCompressor, LineDecompressor
from finchshed.link.digests import digest_of
from finchshed.link.encoding import encode_line
from finchshed.link.lines import LineProtocol
from finchshed.link.listener import AcceptedLink
from finchshed.link.messages import (
    Call,
    Hello,
    PeerMessage,
    Ping,
    Reply,
)
from finchshed.link.peer import PeerLink
from finchshed.link.states import CallContent, ReplyCallback, SendResult
from tests.link.strategies import EPOCH, cut, messages
from tests.link.test_lines import MAX_LINE_BYTES, PING, Connection
from tests.link.test_listener import CONTEXT, HELLO, Owner, Peer, call, make_listener
from tests.link.test_peer import Owner as CallingOwner
from tests.link.transport import MemoryTransport

STEP_SECONDS = 5.0
CALLS = 40
COMPRESSION_HELLO = Hello("n1", "1", EPOCH, "s", "z", 1, compressed=True)


def make_sender() -> tuple[LineProtocol[PeerMessage], MemoryTransport]:
    """Return a connection that sends Hello uncompressed and compresses all later lines."""
    transport = MemoryTransport()
    lines: LineProtocol[PeerMessage] = LineProtocol(PeerMessage, lambda *_: None)
    transport.connect(lines)
    lines.send(COMPRESSION_HELLO)
    lines.start_compressing()
    return lines, transport


class SwitchingConnection(Connection):
    """Expects compressed data after the first line."""

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        super().__init__(max_line_bytes)
        self.lines = LineProtocol(
            PeerMessage,
            self._on_message,
            on_close=lambda _, error: self.ends.append(error),
            max_line_bytes=max_line_bytes,
        )
        self.transport.connect(self.lines)

    def _on_message(self, lines: LineProtocol[PeerMessage], message: PeerMessage) -> None:
        if not self.received:
            lines.start_decompressing()
        self.received.append(message)


@given(st.data(), st.lists(messages, max_size=6))
def test_fragmented_compressed_messages_arrive_whole_and_in_order(
    data: st.DataObject, sent: list[PeerMessage]
) -> None:
    lines, transport = make_sender()
    for message in sent:
        lines.send(message)
    connection = SwitchingConnection(max_line_bytes=100_000)
    connection.feed(*data.draw(cut(transport.written)))
    assert connection.received == [COMPRESSION_HELLO, *sent]
    assert not connection.transport.closed


@given(st.binary(min_size=1, max_size=60))
def test_garbage_on_a_compressed_link_delivers_no_message(garbage: bytes) -> None:
    lines, transport = make_sender()
    lines.send(Ping(epoch="before"))
    connection = SwitchingConnection()
    connection.feed(transport.written, garbage)
    assert connection.received == [COMPRESSION_HELLO, Ping(epoch="before")]


def test_malformed_compressed_bytes_close_the_connection_with_an_error() -> None:
    _, transport = make_sender()
    connection = SwitchingConnection()
    connection.feed(transport.written, b"\xff\xff\xff\xff" + PING)
    connection.transport.finish()
    assert isinstance(connection.ends[0], ProtocolError)


def test_the_end_of_the_compressed_stream_closes_the_connection() -> None:
    _, transport = make_sender()
    connection = SwitchingConnection()
    connection.feed(transport.written, zlib.compress(PING), zlib.compress(PING))
    connection.transport.finish()
    assert isinstance(connection.ends[0], ProtocolError)


def test_a_decompressed_line_over_the_limit_closes_the_connection() -> None:
    lines, transport = make_sender()
    lines.send(Ping(epoch="x" * 64 * MAX_LINE_BYTES))
    assert len(transport.written) < 4 * MAX_LINE_BYTES
    connection = SwitchingConnection()
    connection.feed(transport.written)
    assert connection.transport.closed
    assert connection.received == [COMPRESSION_HELLO]


def test_highly_compressed_data_is_decompressed_in_chunks() -> None:
    compressed = LineCompressor().compress(b"x" * (3 * MAX_CHUNK_BYTES + 1))
    chunks = list(LineDecompressor().decompress(compressed))
    assert max(len(chunk) for chunk in chunks) <= MAX_CHUNK_BYTES
    assert sum(len(chunk) for chunk in chunks) == 3 * MAX_CHUNK_BYTES + 1


def test_similar_lines_compress_to_less_than_a_third() -> None:
    compressor = LineCompressor()
    lines = [encode_line(call(number)) for number in range(1, 101)]
    sizes = [len(compressor.compress(line)) for line in lines]
    assert sum(sizes) < sum(len(line) for line in lines) / 3


async def test_a_listener_compresses_on_request() -> None:
    owner = Owner()
    peer = Peer(make_listener(owner))
    compressor = LineCompressor()
    peer.send(COMPRESSION_HELLO, compressor.compress(encode_line(call(1))))
    assert [received.call for _, received in owner.received] == [1]
    hello, _, _ = peer.transport.written.partition(b"\n")
    assert b'"compressed":true' in hello


async def test_a_listener_does_not_compress_unless_requested() -> None:
    owner = Owner()
    peer = Peer(make_listener(owner))
    peer.send(HELLO, call(1), Ping(epoch=EPOCH))
    assert [received.call for _, received in owner.received] == [1]
    hello, _, rest = peer.transport.written.partition(b"\n")
    assert b'"compressed":true' not in hello
    assert rest.startswith(b'{"type":"pong"')


class AnsweringOwner(Owner):
    """Answers each call with the call's own body."""

    def call_received(self, link: AcceptedLink, call: Call) -> None:
        super().call_received(link, call)
        outcome = Answered(200, (), call.body)
        link.reply(Reply(link.epoch, call.call, outcome, 0, LoadReport(), digest_of(call.body)))


@pytest.mark.parametrize("asks_compression", [False, True])
async def test_both_ends_of_a_link_agree_on_compression(asks_compression: bool) -> None:
    serving = AnsweringOwner()
    listener = make_listener(serving)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(listener.make_protocol, "127.0.0.1", 0)
    calling = CallingOwner()
    link = make_link(server.sockets[0].getsockname()[1], calling, asks_compression=asks_compression)
    replies: asyncio.Queue[Reply | None] = asyncio.Queue()
    try:
        await link.connect()
        async with asyncio.timeout(STEP_SECONDS):
            await calling.opened.wait()
            for number in range(CALLS):
                send_call(link, b"%d" % number * 50, replies.put_nowait)
            bodies = [body_of(await replies.get()) for _ in range(CALLS)]
        assert bodies == [b"%d" % number * 50 for number in range(CALLS)]
        (accepted,) = listener.links()
        assert (accepted.lines.bytes_received < CALLS * 150) is asks_compression
    finally:
        link.close("test ended")
        server.close()


def make_link(port: int, owner: CallingOwner, *, asks_compression: bool) -> PeerLink:
    return PeerLink(
        f"127.0.0.1:{port}",
        owner,
        max_unsent_bytes=1_000_000,
        silence_seconds=60.0,
        heartbeat_seconds=30.0,
        connect_timeout_seconds=STEP_SECONDS,
        asks_compression=asks_compression,
    )


def send_call(link: PeerLink, body: bytes, on_reply: ReplyCallback) -> None:
    result, _ = link.send_call(
        CallContent(
            service="s",
            method="GET",
            path="/",
            headers=(),
            body=body,
            context=CONTEXT,
            revision=1,
        ),
        on_reply,
    )
    assert result is SendResult.SENT


def body_of(reply: Reply | None) -> bytes:
    assert reply is not None
    assert isinstance(reply.outcome, Answered)
    return reply.outcome.body
