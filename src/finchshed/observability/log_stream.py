"""Structured log lines on standard output, rate-limited and written without blocking.

Lines are buffered in memory, so a reader that stops reading cannot block the process. Lines that
exceed the rate limit or the buffer are dropped, and a later line reports how many. Part of the
budget is reserved for lines about failures. Owns the budget and the buffer; the event loop drives
the writes.
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
"""Interval between writes, and so the maximum delay of a line."""

BUFFER_BYTES = 256 << 10
"""Maximum number of bytes buffered while standard output accepts none."""

BYTES_PER_SECOND = 48 << 10
"""Sustained rate limit in bytes per second."""

BURST_BYTES = 192 << 10
"""Maximum burst in bytes."""

FAILURE_FRACTION = 0.5
"""Fraction of the burst reserved for lines about failures."""

SAMPLING_INTERVAL = 32
"""One in this many successful requests is logged; every hop selects the same requests."""


class LinesDropped(msgspec.Struct, frozen=True, tag="lines_left_out", tag_field="event"):
    """Reports the number of lines dropped because of the rate limit or a slow reader."""

    time: float
    lines: int


class LogStream:
    """Buffers and rate-limits log lines.

    Parameters
    ----------
    write
        Writes without blocking and returns the number of bytes written; raises BlockingIOError if
        none can be written.
    now
        Returns the time in seconds on a monotonic clock.

    Attributes
    ----------
    on_pending
        Called when the buffer becomes non-empty; must arrange a call of :meth:`flush`.
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
        self._refilled_at = now()
        self._buffer = bytearray()
        self._dropped = 0
        self._encoder = msgspec.json.Encoder()
        self.on_pending: Callable[[], None] = _ignore_pending

    @property
    def is_waiting(self) -> bool:
        """Whether lines are waiting to be written."""
        return bool(self._buffer)

    @property
    def dropped(self) -> int:
        """Number of dropped lines not yet reported in the stream."""
        return self._dropped

    def offer(self, record: msgspec.Struct, *, is_failure: bool = False) -> bool:
        """Add ``record`` to the buffer; return False if it was dropped."""
        line = self._encoder.encode(record)
        size = len(line) + 1
        self._refill()
        reserved = 0.0 if is_failure else FAILURE_FRACTION * self._burst
        if self._tokens - size < reserved or len(self._buffer) + size > self._buffer_limit:
            self._dropped += 1
            return False
        self._tokens -= size
        is_first = not self._buffer
        self._buffer += line
        self._buffer += b"\n"
        if is_first:
            self.on_pending()
        return True

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        if self._dropped and len(self._buffer) < self._buffer_limit // 2:
            line = self._encoder.encode(LinesDropped(time.time(), self._dropped))
            self._buffer += line + b"\n"
            self._dropped = 0
        if not self._buffer:
            return
        try:
            written = self._write(bytes(self._buffer))
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone. Discard the buffer silently, because logging the error would add
            # a line to this stream; the log ring still has its records.
            written = len(self._buffer)
        del self._buffer[:written]

    def _refill(self) -> None:
        now = self._now()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now


_stream: LogStream | None = None


def is_sampled(root: str) -> bool:
    """Return whether a successful request is logged, given the identity of its root request."""
    return xxhash.xxh32_intdigest(root.encode()) % SAMPLING_INTERVAL == 0


def emit(record: msgspec.Struct, *, is_failure: bool = False) -> None:
    """Log ``record`` if this process has a log stream."""
    if _stream is not None:
        _stream.offer(record, is_failure=is_failure)


def is_enabled() -> bool:
    """Return whether this process has a log stream."""
    return _stream is not None


def open_standard_output() -> LogStream:
    """Open the log stream of this process on standard output."""
    global _stream  # noqa: PLW0603 - one stream per process
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    _stream = LogStream(lambda data: os.write(descriptor, data))
    return _stream


def close() -> None:
    """Flush once and close the log stream of this process."""
    global _stream  # noqa: PLW0603 - see above
    if _stream is not None:
        _stream.flush()
        _stream = None


def schedule_flushes(loop: asyncio.AbstractEventLoop, stream: LogStream) -> None:
    """Flush ``stream`` with timers on ``loop`` while lines are waiting.

    Must be called from the thread that runs the loop. Other threads may add lines.
    """

    def flush() -> None:
        stream.flush()
        if stream.is_waiting:
            loop.call_later(FLUSH_SECONDS, flush)

    def flush_soon() -> None:
        loop.call_later(FLUSH_SECONDS, flush)

    def on_pending() -> None:
        if loop.is_closed():
            return  # the remaining lines are written by close()
        if threading.get_ident() == loop_thread:
            flush_soon()
        else:
            loop.call_soon_threadsafe(flush_soon)

    loop_thread = threading.get_ident()
    stream.on_pending = on_pending
    if stream.is_waiting:
        flush_soon()


def _ignore_pending() -> None:
    """Do nothing: the owner calls :meth:`LogStream.flush`."""
