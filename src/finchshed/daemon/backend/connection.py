"""One HTTP/1.1 connection to the back end, parsed by httptools (llhttp).

A connection carries one request at a time. It is closed whenever the next answer might belong to an
earlier request: after unexpected bytes, a parser error, a truncated answer or a cancelled request.
"""

import asyncio
import enum
import re
from collections.abc import Callable
from typing import cast

import httptools
import msgspec

from finchshed.daemon.backend.answer_reader import AnswerReader
from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendAnswerTooLarge,
    BackendBroken,
    BackendRequest,
    BackendResult,
    ConnectionUse,
)
from finchshed.daemon.backend.extra_answers import log_extra_answer
from finchshed.http.status import STATUS_OK
from finchshed.runtime import clock

MAX_HEAD_BYTES = 65_536
"""Maximum size of an answer's status line and headers."""

KEEP_ALIVE = b"keep-alive"
TIMEOUT_PARAMETER = re.compile(rb"timeout=(\d+)")


class ConnectionState(enum.Enum):
    """State of a connection."""

    IDLE = "idle"
    AWAITING_ANSWER = "awaiting_answer"
    CLOSED = "closed"


class BackendConnection(asyncio.Protocol):
    """A persistent connection for consecutive requests.

    Parameters
    ----------
    number
        Number of the connection, for logs.
    reader
        Converts and validates answers.
    on_idle
        Called when the connection can carry another request.
    on_closed
        Called when it is closed.

    Attributes
    ----------
    idle_since
        When it last became idle, in monotonic seconds; set by the pool.
    keep_alive_seconds
        Idle timeout announced by the back end, or None.
    """

    def __init__(
        self,
        number: int,
        reader: AnswerReader,
        on_idle: Callable[["BackendConnection"], None],
        on_closed: Callable[["BackendConnection"], None],
    ) -> None:
        self.state = ConnectionState.IDLE
        self.idle_since = 0.0
        self.keep_alive_seconds: float | None = None
        self._number = number
        self._requests = 0
        self._reader = reader
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._on_result: Callable[[BackendResult], None] | None = None
        self._is_head = False
        self._max_answer_bytes = 0
        self._request: BackendRequest | None = None
        self._is_complete: bool = False
        self._is_too_large: bool = False
        self._start_answer()

    def send(
        self,
        message: bytes,
        request: BackendRequest,
        on_result: Callable[[BackendResult], None],
    ) -> None:
        """Send a request as ``message``; the connection must be idle."""
        assert self._transport is not None
        self.state = ConnectionState.AWAITING_ANSWER
        self._requests += 1
        self._is_head = request.method == "HEAD"
        self._max_answer_bytes = request.max_answer_bytes
        self._request = request
        self._on_result = on_result
        self._start_answer()
        self._transport.write(message)

    def abort(self) -> None:
        """Close immediately, without reporting a result for a request in progress."""
        self._on_result = None
        self._close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio callback)."""
        self._transport = cast(asyncio.Transport, transport)
        # Writes go out immediately rather than at the end of the event loop's iteration.
        self._transport.set_write_buffer_limits(high=0)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes (asyncio callback)."""
        if self.state is not ConnectionState.AWAITING_ANSWER:
            if self.state is ConnectionState.IDLE:
                log_extra_answer(self._use, len(data))
            self._close()
            return
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            raise
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._is_complete:
                self._fail(f"malformed answer: {error}")
                return
            self._is_unusable = True
        if self._is_complete:
            # Checked after the whole chunk, since surplus bytes make the connection unusable.
            answer = self._answer()
            self._release()
            self._finish(answer)
        elif self._is_too_large:
            self._finish(BackendAnswerTooLarge())
            self._close()
        elif not self._is_past_head and self._received > MAX_HEAD_BYTES:
            self._fail("head too large")

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer: complete if delimited by the connection's end (asyncio callback)."""
        is_whole = exc is None and self._is_past_head and self._ends_with_connection
        if self.state is ConnectionState.AWAITING_ANSWER and is_whole:
            answer = self._answer()
            # Gives its place in the pool back before the result, which may lead to the next send.
            self._close()
            self._finish(answer)
        else:
            self._fail(f"connection closed: {exc or 'by the back end'}")
        self._transport = None

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Detect a second answer to the same request."""
        if self._is_complete:
            self._is_unusable = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if self._is_complete:
            return
        name = name.lower()
        self._raw_headers.append((name, value))
        if name in {b"content-length", b"transfer-encoding"}:
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Store the status, unless the answer is interim (1xx)."""
        if self._is_complete:
            return
        self._status = self._parser.get_status_code()
        if self._status < STATUS_OK:
            return
        self._is_past_head = True
        self._head_received_at = clock.now()
        self._ends_with_connection = not self._has_length
        if self._is_head:
            self._is_unusable = True
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, up to the size limit."""
        if self._is_complete or self._is_too_large:
            return
        self._body_size += len(body)
        if self._body_size <= self._max_answer_bytes:
            self._body.append(body)
        else:
            self._is_too_large = True

    def on_message_complete(self) -> None:
        """Complete the answer, or discard an interim one (1xx)."""
        if self._status < STATUS_OK:
            self._raw_headers.clear()
            self._has_length = False
            return
        if not self._is_complete and self._is_past_head and not self._is_too_large:
            self._complete()

    def _start_answer(self) -> None:
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._received = 0
        self._status = 0
        self._head_received_at = 0.0
        self._has_length = False
        self._is_past_head = False
        self._ends_with_connection = False
        self._is_complete = False
        self._is_too_large = False
        self._keeps_alive = False
        self._is_unusable = False

    def _complete(self) -> None:
        self._is_complete = True
        # Valid only within the parser's callback for this answer.
        self._keeps_alive = self._parser.should_keep_alive()

    @property
    def _use(self) -> ConnectionUse:
        return ConnectionUse(self._number, self._requests)

    def _release(self) -> None:
        if self.state is not ConnectionState.AWAITING_ANSWER:
            return
        if self._is_unusable or not self._keeps_alive:
            self._close()
            return
        self._note_keep_alive()
        self.state = ConnectionState.IDLE
        self._on_idle(self)

    def _answer(self) -> BackendAnswer | BackendBroken:
        assert self._request is not None
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        answer = self._reader.read(
            self._request, self._status, self._raw_headers, body, self._head_received_at
        )
        if isinstance(answer, BackendBroken):
            self._is_unusable = True
            return msgspec.structs.replace(answer, use=self._use)
        return msgspec.structs.replace(
            answer, has_length=not self._ends_with_connection, use=self._use
        )

    def _note_keep_alive(self) -> None:
        """Store the idle timeout from the ``Keep-Alive`` header."""
        for name, value in self._raw_headers:
            if name == KEEP_ALIVE and (found := TIMEOUT_PARAMETER.search(value)):
                self.keep_alive_seconds = float(found.group(1))

    def _fail(self, detail: str) -> None:
        self._finish(BackendBroken(detail, self._use))
        self._close()

    def _finish(self, result: BackendResult) -> None:
        on_result = self._on_result
        self._on_result = None
        if on_result is not None:
            on_result(result)

    def _close(self) -> None:
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        if self._transport is not None:
            self._transport.abort()
        self._on_closed(self)
