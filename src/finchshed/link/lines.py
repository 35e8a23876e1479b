"""asyncio protocol for JSON lines over TCP, used by all internal links.

Messages are encoded with msgspec and terminated by a line feed, which never occurs unescaped in
JSON. Either direction may switch to compression after a line in which both ends agreed to it.
"""

import asyncio
from collections.abc import Callable
from functools import cache
from typing import Any, Generic, TypeVar, cast

import msgspec

from finchshed.common.errors import ProtocolError
from finchshed.common.memory_budget import Holding, HoldingKind, MemoryBudget
from finchshed.link.compression import LineCompressor, LineDecompressor
from finchshed.link.encoding import LINE_FEED, encode_line, encoded_size
from finchshed.link.networks import PeerNetworks

ReceivedT = TypeVar("ReceivedT")

DEFAULT_MAX_LINE_BYTES = 96 << 20
"""Maximum line length; fits a 64 MiB body in base64 with its headers."""

MAX_HANDSHAKE_LINE_BYTES = 16 << 10
"""Maximum line length before the handshake is complete."""

HANDSHAKE_TIMEOUT_SECONDS = 5.0
"""Time after which a connection without a completed handshake is closed."""


@cache
def _decoder_of(received_type: Any) -> msgspec.json.Decoder[Any]:
    """Return the decoder of a type; decoders are stateless and shared by all connections."""
    return msgspec.json.Decoder(received_type)


class LineProtocol(asyncio.Protocol, Generic[ReceivedT]):
    """A connection that sends and receives typed messages as lines.

    Parameters
    ----------
    received_type
        Type that each line must decode to, usually a tagged union.
    on_message
        Called with the connection for each message received.
    on_open, on_close
        Called when the connection is opened and closed. ``on_close`` receives the error or None.
    max_line_bytes
        Maximum line length; a longer line closes the connection.
    requires_handshake
        Whether the peer must identify itself first. Until :meth:`complete_handshake` is called,
        lines are limited to ``MAX_HANDSHAKE_LINE_BYTES``; the connection is closed if that takes
        longer than ``HANDSHAKE_TIMEOUT_SECONDS``.
    networks
        Allowed peer networks; None allows any. A connection from another network is closed
        immediately, and only ``on_close`` is called.
    memory
        Budget of the line being received and of unsent lines; None for no bound. A connection that
        must give way to another one is closed.
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
        memory: MemoryBudget | None = None,
    ) -> None:
        self._memory = memory
        self._received_memory = self._open_holding(memory)
        self._unsent_memory = self._open_holding(memory)
        self._decoder = _decoder_of(received_type)
        self._on_message = on_message
        self._on_open = on_open
        self._on_close = on_close
        self._partial_line = bytearray()
        self._error: Exception | None = None
        self._max_line_bytes = max_line_bytes
        self._awaits_handshake = requires_handshake
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
        """Check the peer's network and report the connection (asyncio callback)."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        peer = transport.get_extra_info("peername")
        self.peer_address = f"{peer[0]}:{peer[1]}" if peer else ""
        if self._networks is not None and not self._networks.allow(self.peer_address):
            self._fail(ProtocolError("the peer's address is not in an allowed network"))
            return
        if self._awaits_handshake:
            loop = asyncio.get_running_loop()
            loop.call_later(HANDSHAKE_TIMEOUT_SECONDS, self._check_handshake)
        if self._on_open is not None:
            self._on_open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the connection closed (asyncio callback)."""
        self.transport = None
        self._partial_line = bytearray()
        self._free_memory()
        if self._on_close is not None:
            self._on_close(self, self._error or exc)

    def data_received(self, data: bytes) -> None:
        """Decode the received lines (asyncio callback)."""
        if not self.is_open:
            return  # already closed by this end
        self.bytes_received += len(data)
        if self._decompressor is None:
            self._feed(data)
        else:
            self._decompress(self._decompressor, data)

    def start_compressing(self) -> None:
        """Compress subsequent lines; the peer must already expect it."""
        self._compressor = LineCompressor()

    def start_decompressing(self) -> None:
        """Treat the bytes after the line being handled as compressed."""
        self._decompressor = LineDecompressor()

    def complete_handshake(self) -> None:
        """Apply the normal line limit: the peer has identified itself."""
        self._awaits_handshake = False

    def send(self, message: msgspec.Struct) -> int:
        """Queue ``message``; return the bytes queued, or 0 if the connection is closed."""
        return self.send_encoded(encode_line(message))

    def send_encoded(self, line: bytes) -> int:
        """Queue a line encoded by :func:`finchshed.link.encoding.encode_line`; see :meth:`send`."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return 0
        if self._compressor is not None:
            line = self._compressor.compress(line)
        transport.write(line)
        self.bytes_sent += len(line)
        self._note_unsent()
        return len(line)

    def unsent_bytes(self) -> int:
        """Return the number of queued bytes not yet accepted by the operating system."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def has_room(self, body_bytes: int) -> bool:
        """Return whether a message with a body of this size can be queued without giving way."""
        if self._memory is None:
            return True
        return self._memory.has_room(encoded_size(body_bytes))

    def resume_writing(self) -> None:
        """Free the memory of unsent lines, which are all sent (asyncio callback)."""
        self._note_unsent()

    def close(self) -> None:
        """Close the connection after sending the queued data."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately, discarding queued data."""
        if self.transport is not None:
            self.transport.abort()

    def _decompress(self, decompressor: LineDecompressor, data: bytes) -> None:
        try:
            for chunk in decompressor.decompress(data):
                self._feed(chunk)
                if not self.is_open:
                    return
        except ProtocolError as error:
            self._fail(error)

    def _feed(self, data: bytes) -> None:
        """Split uncompressed ``data`` into lines and deliver the complete ones."""
        was_plain = self._decompressor is None
        *lines, rest = data.split(LINE_FEED)
        for count, line in enumerate(lines, 1):
            if not self._deliver(self._join_partial(line)):
                return
            if was_plain and self._decompressor is not None:
                compressed = LINE_FEED.join([*lines[count:], rest])
                self._decompress(self._decompressor, compressed)
                return
        if rest:
            self._partial_line += rest
            self._check_size(self._partial_line)
        self._note_received()

    def _join_partial(self, line: bytes) -> bytes | bytearray:
        """Return ``line`` preceded by the part of it received earlier."""
        if not self._partial_line:
            return line
        whole = self._partial_line
        self._partial_line = bytearray()
        whole += line
        return whole

    def _deliver(self, line: bytes | bytearray) -> bool:
        """Decode a line and pass it on; return False if the connection is closed."""
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
        limit = MAX_HANDSHAKE_LINE_BYTES if self._awaits_handshake else self._max_line_bytes
        if len(line) <= limit:
            return True
        self._fail(ProtocolError(f"line exceeds the limit of {limit} bytes"))
        return False

    def _check_handshake(self) -> None:
        if self._awaits_handshake:
            self._fail(ProtocolError(f"no handshake within {HANDSHAKE_TIMEOUT_SECONDS} s"))

    def _fail(self, error: ProtocolError) -> None:
        self._error = error
        self._partial_line = bytearray()
        self.abort()

    def _open_holding(self, memory: MemoryBudget | None) -> Holding | None:
        if memory is None:
            return None
        return memory.open(HoldingKind.MANY_REQUESTS, self._give_way)

    def _note_received(self) -> None:
        held = self._received_memory
        if held is not None and not held.resize(len(self._partial_line)):
            self._give_way()

    def _note_unsent(self) -> None:
        held = self._unsent_memory
        if held is not None and not held.resize(self.unsent_bytes()):
            self._give_way()

    def _give_way(self) -> None:
        self._fail(ProtocolError("no memory is left for its lines"))
        self._free_memory()

    def _free_memory(self) -> None:
        for held in (self._received_memory, self._unsent_memory):
            if held is not None:
                held.release()
        # Breaks the reference cycles, so that no collection is needed.
        self._received_memory = self._unsent_memory = None
