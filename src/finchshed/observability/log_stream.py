"""Structured log lines on standard output: bounded in volume, and never waited for.

Lines are collected in memory and are written without blocking, so a reader that stops reading holds
nothing up: what doesn't fit is left out, and a later line says how many were. Lines about failures
may use the whole budget; others leave a part of it to them. Owns the budget and the lines that
wait; relies on the event loop to write them.
"""

import asyncio
import os
import sys
import threading
import time
from collections.abc import Callable

import msgspec
import xxhash

FLUSH_SECONDS = 0.1
"""Seconds between writes; a line is at most this late. Chosen, not measured."""

BUFFER_BYTES = 256 << 10
"""Bytes of lines kept while standard output takes none; chosen, not measured."""

BYTES_PER_SECOND = 48 << 10
"""Bytes of lines written a second, over a longer time; chosen, not measured."""

BURST_BYTES = 192 << 10
"""Bytes of lines that may be written at once after a quiet time; chosen, not measured."""

FAILURE_FRACTION = 0.5
"""Fraction of the burst that only lines about failures may use; chosen, not measured."""

SAMPLING_INTERVAL = 32
"""Of the requests that end well, one in so many is logged, the same on every hop; chosen,
not measured."""


class LinesDropped(msgspec.Struct, frozen=True, tag="lines_left_out", tag_field="event"):
    """Says how many lines there were that the budget or the reader left no room for."""

    time: float
    lines: int


class LogStream:
    """Writes lines within a budget.

    Parameters
    ----------
    write
        Takes bytes without blocking and returns how many it took; raises BlockingIOError for none.
    now
        Returns monotonic seconds.

    Attributes
    ----------
    on_first
        Called when lines begin to wait; it is to have :meth:`flush` called soon.
    """

    def __init__(
        self,
        write: Callable[[bytes], int],
        now: Callable[[], float] = time.monotonic,
        *,
        bytes_per_second: int = BYTES_PER_SECOND,
        burst_bytes: int = BURST_BYTES,
        buffer_bytes: int = BUFFER_BYTES,
    ) -> None:
        self._write = write
        self._now = now
        self._rate = bytes_per_second
        self._burst = burst_bytes
        self._buffer_limit = buffer_bytes
        self._tokens = float(burst_bytes)
        self._filled_at = now()
        self._buffer = bytearray()
        self._left_out = 0
        self._encoder = msgspec.json.Encoder()
        self.on_pending: Callable[[], None] = _wait_for_flush

    @property
    def is_waiting(self) -> bool:
        """Whether lines wait to be written."""
        return bool(self._buffer)

    @property
    def dropped(self) -> int:
        """Lines left out of which no line says so yet."""
        return self._left_out

    def offer(self, record: msgspec.Struct, *, is_failure: bool = False) -> bool:
        """Add the line of ``record``; return False where there is no room for it."""
        line = self._encoder.encode(record)
        size = len(line) + 1
        self._fill()
        kept_back = 0.0 if is_failure else FAILURE_FRACTION * self._burst
        if self._tokens - size < kept_back or len(self._buffer) + size > self._buffer_limit:
            self._left_out += 1
            return False
        self._tokens -= size
        is_first = not self._buffer
        self._buffer += line
        self._buffer += b"\n"
        if is_first:
            self.on_pending()
        return True

    def flush(self) -> None:
        """Write what standard output takes now."""
        if self._left_out and len(self._buffer) < self._buffer_limit // 2:
            line = self._encoder.encode(LinesDropped(time.time(), self._left_out))
            self._buffer += line + b"\n"
            self._left_out = 0
        if not self._buffer:
            return
        try:
            written = self._write(bytes(self._buffer))
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more. A log line on it would be written here as well, so lines are
            # dropped; the ring keeps its records.
            written = len(self._buffer)
        del self._buffer[:written]

    def _fill(self) -> None:
        now = self._now()
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now


_stream: LogStream | None = None


def is_sampled(root: str) -> bool:
    """Return whether a request that ends well is logged, by the identity of its root request."""
    return xxhash.xxh32_intdigest(root.encode()) % SAMPLING_INTERVAL == 0


def emit(record: msgspec.Struct, *, is_failure: bool = False) -> None:
    """Log ``record``; does nothing in a process without a stream."""
    if _stream is not None:
        _stream.offer(record, is_failure=is_failure)


def is_enabled() -> bool:
    """Return whether this process writes a stream."""
    return _stream is not None


def open_standard_output() -> LogStream:
    """Begin the process's stream on standard output."""
    global _stream  # noqa: PLW0603 - a process has one standard output
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    _stream = LogStream(lambda data: os.write(descriptor, data))
    return _stream


def close() -> None:
    """End the process's stream with what can still be written."""
    global _stream  # noqa: PLW0603 - see above
    if _stream is not None:
        _stream.flush()
        _stream = None


def schedule_flushes(loop: asyncio.AbstractEventLoop, stream: LogStream) -> None:
    """Have the lines of ``stream`` written by timers of ``loop``; none runs while there are none.

    To be called by the thread that runs the loop. Lines may come from threads that write to disks.
    """

    def flush() -> None:
        stream.flush()
        if stream.is_waiting:
            loop.call_later(FLUSH_SECONDS, flush)

    def flush_soon() -> None:
        loop.call_later(FLUSH_SECONDS, flush)

    def on_pending() -> None:
        if loop.is_closed():
            return  # what is said last is written when the stream is closed
        if threading.get_ident() == own_thread:
            flush_soon()
        else:
            loop.call_soon_threadsafe(flush_soon)

    own_thread = threading.get_ident()
    stream.on_pending = on_pending
    if stream.is_waiting:
        flush_soon()


def _wait_for_flush() -> None:
    """Leave it to whoever calls :meth:`LogStream.flush`."""
