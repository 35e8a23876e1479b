"""Compressed links: the same messages in fewer bytes, and a clear end for everything else."""

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
ASKING_HELLO = Hello("n1", "1", EPOCH, "s", "z", 1, compressed=True)


def sender() -> tuple[LineProtocol[PeerMessage], MemoryTransport]:
    """Return an end that says Hello in plain and compresses from then on."""
    transport = MemoryTransport()
    lines: LineProtocol[PeerMessage] = LineProtocol(PeerMessage, lambda *_: None)
    transport.connect(lines)
    lines.send(ASKING_HELLO)
    lines.start_compressing()
    return lines, transport


class SwitchingConnection(Connection):
    """Expects compressed lines behind the first one."""

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        super().__init__(max_line_bytes)
        self.lines = LineProtocol(
            PeerMessage,
            self._take,
            on_close=lambda _, error: self.ends.append(error),
            max_line_bytes=max_line_bytes,
        )
        self.transport.connect(self.lines)

    def _take(self, lines: LineProtocol[PeerMessage], message: PeerMessage) -> None:
        if not self.received:
            lines.start_decompressing()
        self.received.append(message)


@given(st.data(), st.lists(messages, max_size=6))
def test_compressed_messages_come_whole_and_in_order_however_they_are_cut(
    data: st.DataObject, sent: list[PeerMessage]
) -> None:
    lines, transport = sender()
    for message in sent:
        lines.send(message)
    connection = SwitchingConnection(max_line_bytes=100_000)
    connection.feed(*data.draw(cut(transport.written)))
    assert connection.received == [ASKING_HELLO, *sent]
    assert not connection.transport.closed


@given(st.binary(min_size=1, max_size=60))
def test_garbage_in_a_compressed_link_ends_it_or_waits_for_more(garbage: bytes) -> None:
    lines, transport = sender()
    lines.send(Ping(epoch="before"))
    connection = SwitchingConnection()
    connection.feed(transport.written, garbage)
    assert connection.received == [ASKING_HELLO, Ping(epoch="before")]


def test_malformed_compressed_bytes_close_the_connection_with_an_error() -> None:
    _, transport = sender()
    connection = SwitchingConnection()
    connection.feed(transport.written, b"\xff\xff\xff\xff" + PING)
    connection.transport.finish()
    assert isinstance(connection.ends[0], ProtocolError)


def test_an_ended_stream_closes_the_connection() -> None:
    _, transport = sender()
    connection = SwitchingConnection()
    connection.feed(transport.written, zlib.compress(PING), zlib.compress(PING))
    connection.transport.finish()
    assert isinstance(connection.ends[0], ProtocolError)


def test_a_line_that_expands_past_the_limit_closes_the_connection() -> None:
    lines, transport = sender()
    lines.send(Ping(epoch="x" * 64 * MAX_LINE_BYTES))
    assert len(transport.written) < 4 * MAX_LINE_BYTES
    connection = SwitchingConnection()
    connection.feed(transport.written)
    assert connection.transport.closed
    assert connection.received == [ASKING_HELLO]


def test_what_expands_far_is_handed_on_in_pieces() -> None:
    compressed = LineCompressor().compress(b"x" * (3 * MAX_CHUNK_BYTES + 1))
    pieces = list(LineDecompressor().decompress(compressed))
    assert max(len(piece) for piece in pieces) <= MAX_CHUNK_BYTES
    assert sum(len(piece) for piece in pieces) == 3 * MAX_CHUNK_BYTES + 1


def test_like_lines_take_a_third_of_their_bytes_or_less() -> None:
    compressor = LineCompressor()
    lines = [encode_line(call(number)) for number in range(1, 101)]
    sizes = [len(compressor.compress(line)) for line in lines]
    assert sum(sizes) < sum(len(line) for line in lines) / 3


async def test_a_listener_compresses_for_a_peer_that_asks() -> None:
    owner = Owner()
    peer = Peer(make_listener(owner))
    compressor = LineCompressor()
    peer.send(ASKING_HELLO, compressor.compress(encode_line(call(1))))
    assert [taken.call for _, taken in owner.received] == [1]
    hello, _, _ = peer.transport.written.partition(b"\n")
    assert b'"compressed":true' in hello


async def test_a_listener_sends_plain_lines_to_a_peer_that_does_not_ask() -> None:
    owner = Owner()
    peer = Peer(make_listener(owner))
    peer.send(HELLO, call(1), Ping(epoch=EPOCH))
    assert [taken.call for _, taken in owner.received] == [1]
    hello, _, rest = peer.transport.written.partition(b"\n")
    assert b'"compressed":true' not in hello
    assert rest.startswith(b'{"type":"pong"')


class AnsweringOwner(Owner):
    """Answers each call with its body."""

    def call_received(self, link: AcceptedLink, call: Call) -> None:
        super().call_received(link, call)
        outcome = Answered(200, (), call.body)
        link.reply(Reply(link.epoch, call.call, outcome, 0, LoadReport(), digest_of(call.body)))


@pytest.mark.parametrize("asks", [False, True])
async def test_both_ends_of_a_link_agree(asks: bool) -> None:
    serving = AnsweringOwner()
    listener = make_listener(serving)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(listener.make_protocol, "127.0.0.1", 0)
    calling = CallingOwner()
    link = link_to(server.sockets[0].getsockname()[1], calling, asks=asks)
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
        assert (accepted.lines.bytes_received < CALLS * 150) is asks
    finally:
        link.close("test ended")
        server.close()


def link_to(port: int, owner: CallingOwner, *, asks: bool) -> PeerLink:
    return PeerLink(
        f"127.0.0.1:{port}",
        owner,
        max_unsent_bytes=1_000_000,
        silence_seconds=60.0,
        heartbeat_seconds=30.0,
        connect_timeout_seconds=STEP_SECONDS,
        asks_compression=asks,
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
