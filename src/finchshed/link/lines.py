"""JSON lines over TCP: the one place where bytes of internal links are read and written.

The codec is msgspec's; the framing is a line feed after each JSON value, which JSON never holds
unescaped. A direction may be compressed from some line on, which the lines before it agree on.
"""

import asyncio
from collections.abc import Callable
from functools import cache
from typing import Any, Generic, TypeVar, cast

import msgspec

from finchshed.common.errors import ProtocolError
from finchshed.link.compression import LineCompressor, LineDecompressor
from finchshed.link.encoding import LINE_FEED, encode_line
from finchshed.link.networks import PeerNetworks

ReceivedT = TypeVar("ReceivedT")

DEFAULT_MAX_LINE_BYTES = 96 << 20
"""Longest line, bytes: a body of 64 MiB in base64 and its
headers."""

MAX_HANDSHAKE_LINE_BYTES = 16 << 10
"""Longest line, bytes, of a peer that hasn't said who it is; chosen, not measured."""

HANDSHAKE_TIMEOUT_SECONDS = 5.0
"""Seconds after which a peer that hasn't said who it is is closed; chosen, not measured."""


@cache
def _decoder_of(received_type: Any) -> msgspec.json.Decoder[Any]:
    """Return the decoder of a type: it keeps no state, so all connections share one."""
    return msgspec.json.Decoder(received_type)


class LineProtocol(asyncio.Protocol, Generic[ReceivedT]):
    """One connection that sends and receives typed lines.

    Parameters
    ----------
    received_type
        Type, usually a tagged union, that each line must decode to.
    on_message
        Called with the connection and each message.
    on_open, on_close
        Called when the connection is made and lost. ``on_close`` gets the error, or None.
    max_line_bytes
        A longer line closes the connection.
    requires_handshake
        Whether the peer must identify itself first. Until :meth:`complete_handshake` is called,
        lines are limited to ``MAX_HANDSHAKE_LINE_BYTES``; the connection is closed if that takes
        longer than ``HANDSHAKE_TIMEOUT_SECONDS``.
    networks
        A connection from elsewhere is closed at once, with ``on_close`` alone called; None: any.
    """

    def __init__(
        self,
        received_type: Any,
        on_message: Callable[["LineProtocol[ReceivedT]", ReceivedT], None],
        on_open: Callable[["LineProtocol[ReceivedT]"], None] | None = None,
        on_close: Callable[["LineProtocol[ReceivedT]", Exception | None], None] | None = None,
        max_line_bytes: int = DEFAULT_MAX_LINE_BYTES,
        *,
        requires_handshake: bool = False,
        networks: PeerNetworks | None = None,
    ) -> None:
        self._decoder = _decoder_of(received_type)
        self._on_message = on_message
        self._on_open = on_open
        self._on_close = on_close
        self._rest = bytearray()
        self._error: Exception | None = None
        self._max_line_bytes = max_line_bytes
        self._awaits_greeting = requires_handshake
        self._networks = networks
        self._compressor: LineCompressor | None = None
        self._decompressor: LineDecompressor | None = None
        self.transport: asyncio.Transport | None = None
        self.bytes_received = 0
        self.bytes_sent = 0
        self.peer_address = ""

    @property
    def is_open(self) -> bool:
        """Whether lines can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio callback)."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        peer = transport.get_extra_info("peername")
        self.peer_address = f"{peer[0]}:{peer[1]}" if peer else ""
        if self._networks is not None and not self._networks.allow(self.peer_address):
            self._fail(ProtocolError("the peer isn't of an allowed network"))
            return
        if self._awaits_greeting:
            loop = asyncio.get_running_loop()
            loop.call_later(HANDSHAKE_TIMEOUT_SECONDS, self._require_greeting)
        if self._on_open is not None:
            self._on_open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection (asyncio callback)."""
        self.transport = None
        if self._on_close is not None:
            self._on_close(self, self._error or exc)

    def data_received(self, data: bytes) -> None:
        """Split ``data`` into lines and hand each on (asyncio callback)."""
        if not self.is_open:
            return  # given up on; what still comes has no reader
        self.bytes_received += len(data)
        if self._decompressor is None:
            self._split(data)
        else:
            self._expand(self._decompressor, data)

    def start_compressing(self) -> None:
        """Compress the lines sent from now on; the peer knows it."""
        self._compressor = LineCompressor()

    def start_decompressing(self) -> None:
        """Read what comes behind the line handed on just now as compressed: the peer said so."""
        self._decompressor = LineDecompressor()

    def complete_handshake(self) -> None:
        """Let longer lines in: the peer said who it is."""
        self._awaits_greeting = False

    def send(self, message: msgspec.Struct) -> int:
        """Queue ``message`` for sending; return its size in bytes, or 0 if the link is closed."""
        return self.send_encoded(encode_line(message))

    def send_encoded(self, line: bytes) -> int:
        """Queue a line made by :func:`finchshed.link.encoding.encode_line`."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return 0
        if self._compressor is not None:
            line = self._compressor.compress(line)
        transport.write(line)
        self.bytes_sent += len(line)
        return len(line)

    def unsent_bytes(self) -> int:
        """Bytes queued and not yet taken by the operating system."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def close(self) -> None:
        """Close after what is queued has been sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def _expand(self, decompressor: LineDecompressor, data: bytes) -> None:
        try:
            for piece in decompressor.decompress(data):
                self._split(piece)
                if not self.is_open:
                    return
        except ProtocolError as error:
            self._fail(error)

    def _split(self, data: bytes) -> None:
        """Split ``data`` into lines and hand each on."""
        was_plain = self._decompressor is None
        *lines, rest = data.split(LINE_FEED)
        for count, line in enumerate(lines, 1):
            if not self._deliver(self._whole(line)):
                return
            if was_plain and self._decompressor is not None:
                compressed = LINE_FEED.join([*lines[count:], rest])
                self._expand(self._decompressor, compressed)
                return
        if rest:
            self._rest += rest
            self._check_size(self._rest)

    def _whole(self, line: bytes) -> bytes | bytearray:
        """Return ``line`` with what came of it before."""
        if not self._rest:
            return line
        whole = self._rest
        self._rest = bytearray()
        whole += line
        return whole

    def _deliver(self, line: bytes | bytearray) -> bool:
        """Hand a line on; return whether the connection is still to be read."""
        if not self._check_size(line):
            return False
        try:
            message = self._decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            self._fail(ProtocolError(f"malformed line: {error}"))
            return False
        self._on_message(self, message)
        return self.is_open

    def _check_size(self, line: bytes | bytearray) -> bool:
        limit = MAX_HANDSHAKE_LINE_BYTES if self._awaits_greeting else self._max_line_bytes
        if len(line) <= limit:
            return True
        self._fail(ProtocolError(f"line longer than {limit} bytes"))
        return False

    def _require_greeting(self) -> None:
        if self._awaits_greeting:
            self._fail(ProtocolError(f"no greeting within {HANDSHAKE_TIMEOUT_SECONDS} s"))

    def _fail(self, error: ProtocolError) -> None:
        self._error = error
        self.abort()
