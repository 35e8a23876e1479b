"""One HTTP/1.1 connection to the back end.

A connection carries one request at a time, and none twice. It is closed whenever the next answer
might belong to an earlier request: after unexpected bytes, a parser error, a truncated answer, a
refusal that names no request, or a cancelled request.
"""

import asyncio
import enum
import re
from collections.abc import Callable, Sequence
from typing import cast

import msgspec

from finchshed.common.memory_budget import HoldingKind, MemoryBudget
from finchshed.daemon.backend.addressee import Addressee, RawHeader, identity_of
from finchshed.daemon.backend.answer_parser import AnswerParser
from finchshed.daemon.backend.answer_reader import AnswerReader
from finchshed.daemon.backend.carried_requests import CarriedRequests
from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendAnswerTooLarge,
    BackendBroken,
    BackendRequest,
    BackendResult,
    BrokenCause,
    ConnectionUse,
)
from finchshed.daemon.backend.extra_answers import log_extra_answer
from finchshed.http.connection_end import ConnectionEnd, end_of_stream
from finchshed.http.reading import Reading
from finchshed.http.unparsed import UnparsedBytes

MAX_BYTES_AT_ONCE = 16_384
"""Bytes of a head, or of a body in chunks, that are parsed before others get their turn."""

KEEP_ALIVE = b"keep-alive"
TIMEOUT_PARAMETER = re.compile(rb"timeout=(\d+)")


_CAUSE_BY_END = {
    ConnectionEnd.ORDERLY: BrokenCause.ENDED,
    ConnectionEnd.RESET: BrokenCause.RESET,
    ConnectionEnd.UNKNOWN: BrokenCause.RESET,
}


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
    memory
        Budget of the answers' bodies.
    max_answer_bytes
        Maximum size of an answer's body, whatever its request allows.

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
        *,
        memory: MemoryBudget,
        max_answer_bytes: int,
    ) -> None:
        self.state = ConnectionState.IDLE
        self.idle_since = 0.0
        self.keep_alive_seconds: float | None = None
        self._number = number
        self._reader = reader
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._carried = CarriedRequests()
        self._max_answer_bytes = max_answer_bytes
        holding = memory.open(HoldingKind.ONE_REQUEST, self._on_memory_dropped)
        self._parser = AnswerParser(self._addressee_of, holding)
        self._unparsed = UnparsedBytes()
        self._reading_state = Reading()
        self._on_result: Callable[[BackendResult], None] | None = None
        self._request: BackendRequest | None = None

    def can_carry(self, request: BackendRequest) -> bool:
        """Return whether ``request`` may be sent on it, as far as earlier requests matter.

        A request without identity may be: its answer promises nothing that a copy could break.
        """
        identity = identity_of(request)
        return not identity or not self._carried.has(identity)

    def send(
        self,
        message: bytes,
        request: BackendRequest,
        on_result: Callable[[BackendResult], None],
    ) -> None:
        """Send a request as ``message``; the connection must be idle."""
        assert self._transport is not None
        self.state = ConnectionState.AWAITING_ANSWER
        self._carried.add(identity_of(request))
        self._request = request
        self._on_result = on_result
        self._parser.begin(
            is_head=request.method == "HEAD",
            max_body_bytes=min(request.max_answer_bytes, self._max_answer_bytes),
            skips_extra=not request.is_repeatable,
        )
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
        self._unparsed.add(data)
        self._parse()

    def _parse(self) -> None:
        """Parse what was received, but tiny chunks in pieces, so that others get their turn."""
        if self.state is not ConnectionState.AWAITING_ANSWER:
            return
        is_framed = self._parser.is_past_head and not self._parser.is_chunked
        size = len(self._unparsed) if is_framed else MAX_BYTES_AT_ONCE
        problem = self._parser.feed(bytes(self._unparsed.take(size)))
        is_over = problem or self._parser.is_complete or self._parser.is_too_large
        if self._unparsed and not is_over:
            self._reading_state.pause(self._transport)
            asyncio.get_running_loop().call_soon(self._parse)
            return
        if self._unparsed and self._parser.is_complete:
            problem = self._parser.feed(bytes(self._unparsed.take(len(self._unparsed))))
        self._reading_state.resume(self._transport)
        self._on_parsed(problem)

    def _on_parsed(self, problem: str) -> None:
        if problem:
            self._fail(problem, BrokenCause.MALFORMED)
        elif self._parser.is_complete:
            # Checked after all bytes, since surplus ones make the connection unusable.
            answer = self._answer()
            self._release(answer)
            self._finish(answer)
        elif self._parser.is_too_large:
            self._give_up_answer()

    def eof_received(self) -> None:
        """End the answer: complete if delimited by the end of the stream (asyncio callback).

        It isn't put off until the connection is lost, which may take until the whole request is
        sent, to a back end that reads no more.
        """
        end = end_of_stream(self._transport)
        is_whole = end is ConnectionEnd.ORDERLY and self._parser.can_end_with_connection
        if self.state is ConnectionState.AWAITING_ANSWER and is_whole:
            answer = self._answer()
            # Gives its place in the pool back before the result, which may lead to the next send.
            self._close()
            self._finish(answer)
        else:
            self._fail(f"connection ended {end.value}", _CAUSE_BY_END[end])

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress (asyncio callback)."""
        self._fail(f"connection lost: {exc or 'closed'}", BrokenCause.RESET)
        self._transport = None

    @property
    def _use(self) -> ConnectionUse:
        return ConnectionUse(self._number, self._carried.count)

    def _addressee_of(self, headers: Sequence[RawHeader]) -> Addressee:
        assert self._request is not None
        addressee = self._reader.addressee_of(self._request, headers, self._carried)
        if addressee in {Addressee.EARLIER_REQUEST, Addressee.UNKNOWN}:
            log_extra_answer(
                self._use,
                self._parser.received,
                awaited=identity_of(self._request),
                named=self._reader.named_identity(headers),
            )
        return addressee

    def _release(self, answer: BackendAnswer | BackendBroken) -> None:
        if self.state is not ConnectionState.AWAITING_ANSWER:
            return
        if not self._is_reusable(answer):
            self._close()
            return
        self._note_keep_alive()
        self.state = ConnectionState.IDLE
        self._on_idle(self)

    def _is_reusable(self, answer: BackendAnswer | BackendBroken) -> bool:
        if isinstance(answer, BackendBroken) or not self._parser.keeps_alive:
            return False
        # A copy of such a refusal couldn't be told from the refusal of the next request.
        is_unproven_refusal = not answer.ran and not self._parser.is_identified
        return not is_unproven_refusal and not self._carried.is_full

    def _answer(self) -> BackendAnswer | BackendBroken:
        assert self._request is not None
        parser = self._parser
        answer = self._reader.read(
            self._request,
            parser.status,
            parser.headers,
            parser.take_body(),
            parser.head_received_at,
        )
        if isinstance(answer, BackendBroken):
            return msgspec.structs.replace(answer, use=self._use)
        return msgspec.structs.replace(
            answer, has_length=not parser.ends_with_connection, use=self._use
        )

    def _note_keep_alive(self) -> None:
        """Store the idle timeout from the ``Keep-Alive`` header."""
        for name, value in self._parser.headers:
            if name == KEEP_ALIVE and (found := TIMEOUT_PARAMETER.search(value)):
                self.keep_alive_seconds = float(found.group(1))

    def _on_memory_dropped(self) -> None:
        self._parser.give_up()
        # Later, since the result may lead to changes of the budget that dropped it.
        asyncio.get_running_loop().call_soon(self._give_up_answer)

    def _give_up_answer(self) -> None:
        self._finish(BackendAnswerTooLarge())
        self._close()

    def _fail(self, detail: str, cause: BrokenCause) -> None:
        head = "whole" if self._parser.is_past_head else "not whole"
        received = f"{self._parser.received} bytes received, head {head}"
        self._finish(BackendBroken(f"{detail}; {received}", cause, self._use))
        self._close()

    def _finish(self, result: BackendResult) -> None:
        on_result = self._on_result
        self._on_result = None
        self._forget_request()
        if on_result is not None:
            on_result(result)

    def _forget_request(self) -> None:
        """Free the request, whose body may be large; the connection may be kept for long."""
        self._request = None

    def _close(self) -> None:
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        if self._on_result is None:
            self._forget_request()
        self._unparsed.clear()
        self._parser.discard()
        if self._transport is not None:
            self._transport.abort()
        self._on_closed(self)
