"""Messages arrive whole and in order; malformed data closes the connection with an error."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchshed.common.errors import ProtocolError
from finchshed.distribution.messages import Fetch
from finchshed.link.encoding import encode_line
from finchshed.link.lines import LineProtocol
from finchshed.link.messages import PeerMessage, Ping
from tests.link.strategies import NESTED, cut, garbage, messages
from tests.link.transport import MemoryTransport

MAX_LINE_BYTES = 400
PING = encode_line(Ping(epoch="e1"))


class Connection:
    """A protocol on an in-memory transport, with the messages and close events it reported."""

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self.received: list[PeerMessage] = []
        self.ends: list[Exception | None] = []
        self.transport = MemoryTransport()
        self.lines: LineProtocol[PeerMessage] = LineProtocol(
            PeerMessage,
            lambda _, message: self.received.append(message),
            on_close=lambda _, error: self.ends.append(error),
            max_line_bytes=max_line_bytes,
        )
        self.transport.connect(self.lines)

    def feed(self, *pieces: bytes) -> None:
        for piece in pieces:
            self.lines.data_received(piece)


@given(st.data(), st.lists(messages, max_size=6))
def test_fragmented_messages_arrive_whole_and_in_order(
    data: st.DataObject, sent: list[PeerMessage]
) -> None:
    connection = Connection(max_line_bytes=100_000)
    connection.feed(*data.draw(cut(b"".join(encode_line(message) for message in sent))))
    assert connection.received == sent
    assert not connection.transport.closed


@given(st.data(), st.lists(garbage, min_size=1, max_size=4))
def test_garbage_closes_the_connection_with_a_protocol_error(
    data: st.DataObject, parts: list[bytes]
) -> None:
    connection = Connection(max_line_bytes=100_000)
    before = encode_line(Ping(epoch="before"))
    after = encode_line(Ping(epoch="after"))
    connection.feed(*data.draw(cut(before + b"".join(parts) + b"\n!\n" + after)))
    assert connection.received[0] == Ping(epoch="before")
    assert Ping(epoch="after") not in connection.received
    assert connection.transport.closed
    connection.transport.finish()
    (error,) = connection.ends
    assert isinstance(error, ProtocolError)
    assert "\n" not in str(error)


def test_a_line_nested_too_deeply_is_malformed() -> None:
    connection = Connection(max_line_bytes=100_000)
    connection.feed(NESTED, PING)
    connection.transport.finish()
    assert connection.received == []
    assert "malformed line" in str(connection.ends[0])


@given(st.data(), st.integers(-2, 2))
def test_a_line_over_the_size_limit_is_rejected(data: st.DataObject, beyond: int) -> None:
    connection = Connection(max_line_bytes=len(PING) - 1 + beyond)
    connection.feed(*data.draw(cut(PING)))
    assert len(connection.received) == (beyond >= 0)
    assert connection.transport.closed == (beyond < 0)


def test_an_unterminated_line_is_rejected_at_the_size_limit() -> None:
    connection = Connection()
    for _ in range(10_000):
        connection.feed(b"x")
    assert connection.transport.closed
    assert connection.lines.bytes_received == MAX_LINE_BYTES + 1


def test_no_message_is_delivered_after_the_receiver_aborts() -> None:
    received = []

    def abort(lines: LineProtocol[PeerMessage], message: PeerMessage) -> None:
        received.append(message)
        lines.abort()

    transport = MemoryTransport()
    lines: LineProtocol[PeerMessage] = LineProtocol(PeerMessage, abort)
    transport.connect(lines)
    lines.data_received(PING + PING)
    assert len(received) == 1


@pytest.mark.parametrize("closed", [True, False])
def test_send_returns_the_number_of_bytes_queued(closed: bool) -> None:
    connection = Connection()
    if closed:
        connection.transport.close()
    size = connection.lines.send(Ping(epoch="e1"))
    assert size == (0 if closed else len(PING))
    assert connection.transport.written == (b"" if closed else PING)


@pytest.mark.parametrize("revision", [-1, 1 << 63])
def test_a_revision_out_of_range_closes_the_connection_with_the_field_name(revision: int) -> None:
    connection = Connection()
    connection.feed(encode_line(Fetch(revision=revision)))
    assert connection.received == []
    assert connection.transport.closed
    connection.transport.finish()
    (error,) = connection.ends
    assert isinstance(error, ProtocolError)
    assert "`int`" in str(error)
    assert "$.revision" in str(error)
