"""Transport side of an HTTP connection: unsent data, pauses of reading, and ways of closing."""

import asyncio
import socket
import struct

from finchshed.common.memory_budget import Holding, HoldingKind, MemoryBudget
from finchshed.http.reading import Reading

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``struct linger`` with a timeout of zero: a close resets the connection (socket(7))."""

_DELIVER_ON_CLOSE = struct.pack("ii", 0, 0)
"""``struct linger`` that is off: after a close the kernel delivers what it was given."""


CONNECTION_BYTES = 8_192
"""Memory of an open connection: its objects and those of the event loop."""

RECEIVE_BYTES = 65_536
"""Maximum number of bytes that are received at a time."""

_receive_buffer = memoryview(bytearray(RECEIVE_BYTES))
"""Shared by all connections: it is filled and emptied within one step of the event loop."""


class ConnectionTransport(asyncio.BufferedProtocol):
    """Base of a server-side connection; the subclass parses and answers requests.

    Attributes
    ----------
    is_lingering
        Whether the last answer was written; data that is still received is discarded.
    unsent_bytes
        Unsent bytes when the server last saw progress.
    progress_at
        When that was, in seconds on the boot-time clock.

    ``_request_memory`` is what the request takes that is with the handler; it never gives way.
    ``_lingers_once_sent`` tells how to end the connection after the answer that its end delimits;
    None while no such answer is being sent.

    Parameters
    ----------
    memory
        Budget of what the client makes the process hold, None for no bound; a connection that must
        give way is aborted.
    """

    def __init__(self, memory: MemoryBudget | None = None) -> None:
        self._memory: Holding | None = None
        self._request_memory: Holding | None = None
        if memory is not None:
            self._memory = memory.open(HoldingKind.ONE_REQUEST, self.abort)
            self._request_memory = memory.open(HoldingKind.KEPT, self.abort)
        self._transport: asyncio.Transport | None = None
        self._reading_state = Reading()
        self.is_lingering = False
        self.unsent_bytes = 0
        self.progress_at = 0.0
        self._lingers_once_sent: bool | None = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where received bytes are put (asyncio callback)."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on received bytes (asyncio callback)."""
        self.data_received(bytes(_receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        raise NotImplementedError

    def write_buffer_size(self) -> int:
        """Return the number of unsent bytes."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def close(self) -> None:
        """Close the connection after sending the queued data."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately, discarding queued data."""
        self._lingers_once_sent = None
        if self._transport is not None:
            self._transport.abort()

    def resume_writing(self) -> None:
        """End an answer delimited by the connection's end, once it is sent (asyncio callback)."""
        self._note_held()
        self._end_if_sent()

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)
        self._note_held()

    def _held_bytes(self) -> int:
        """Return the memory that the connection takes."""
        return CONNECTION_BYTES + self.write_buffer_size()

    def _note_held(self) -> None:
        """Count the memory that the connection takes now."""
        held = self._memory
        if held is not None and not held.resize(self._held_bytes()):
            self._on_no_memory()

    def _on_no_memory(self) -> None:
        """Give way: no memory is left for what the connection takes."""
        self.abort()

    def _free_memory(self) -> None:
        for held in (self._memory, self._request_memory):
            if held is not None:
                held.release()
        # Breaks the reference cycles, so that no collection is needed.
        self._memory = self._request_memory = None

    def _send_delimited_by_end(self, data: bytes, *, is_lingering: bool) -> None:
        """Write an answer that ends with the connection, and end the connection after it.

        Until the kernel has the whole answer, any close resets the connection, also the one that
        the kernel makes when the process ends. A part of the answer thus never has an orderly end,
        which would make it look whole. From then on the kernel delivers answer and end by itself.
        """
        assert self._transport is not None
        self.is_lingering = True
        self._lingers_once_sent = is_lingering
        self._set_linger(_RESET_ON_CLOSE)
        self._write(data)
        self._end_if_sent()

    def _end_if_sent(self) -> None:
        is_lingering = self._lingers_once_sent
        if is_lingering is None or self._transport is None or self.write_buffer_size() > 0:
            return
        self._lingers_once_sent = None
        self._set_linger(_DELIVER_ON_CLOSE)
        self._end_sending(is_lingering=is_lingering)

    def _set_linger(self, linger: bytes) -> None:
        assert self._transport is not None
        connection = self._transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _end_sending(self, *, is_lingering: bool) -> None:
        """Close the connection, or only its write side.

        Closing while data is unread resets the connection, and the client may lose the response.
        After a half-close it can read the response; what it sent is discarded until it closes.
        """
        self.is_lingering = True
        if self._transport is None:
            return
        if is_lingering and self._transport.can_write_eof():
            self._transport.write_eof()
            self._reading_state.resume(self._transport)
        else:
            self._transport.close()
