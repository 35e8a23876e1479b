"""A server-side HTTP connection, parsed with httptools (llhttp).

Pipelined requests are parsed one at a time and answered in order; what a client sends meanwhile is
left to the kernel. Requests and responses are not streamed: the handler receives a complete request
and returns a complete response. Owns the requests of its connection; the server's handler admits
and answers them.
"""

import asyncio
from collections import deque
from typing import Generic, cast

import httptools

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.http.exchange import ConnectionOwner, Exchange, RequestT
from finchshed.http.message import (
    CONTINUE,
    InboundRequest,
    Response,
    encode_response,
    has_body,
    origin_form,
)
from finchshed.http.status import STATUS_BAD_REQUEST, STATUS_HEAD_TOO_LARGE
from finchshed.http.transport import ConnectionTransport
from finchshed.http.unparsed import UnparsedBytes

MAX_DISCARDED_BYTES = 1 << 20
"""Bytes of an oversized body to read and discard, so that the client receives the response instead
of a connection reset."""

MAX_CHUNKED_BYTES_AT_ONCE = 1_024
"""Bytes of a body in chunks that are parsed at a time; its end, and so the next request, may be
among them."""

MAX_STEPS_AT_ONCE = 32
"""Pieces and requests of one connection that are processed before others get their turn."""


class InboundConnection(ConnectionTransport, Generic[RequestT]):
    """A connection opened by a client."""

    def __init__(self, owner: "ConnectionOwner[RequestT, InboundConnection[RequestT]]") -> None:
        super().__init__(owner.memory)
        self._owner = owner
        self._parser = httptools.HttpRequestParser(self)
        self._remote = ""
        self._target = b""
        self._received = 0
        self._reading: Exchange[RequestT] | None = None
        self._answering: Exchange[RequestT] | None = None
        self._queued: deque[Exchange[RequestT]] = deque()
        self._unparsed = UnparsedBytes()
        self._is_advancing = False
        self._is_parser_failed = False
        self._is_pipelined = False
        self.last_active_at = owner.now

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered, or response data is unsent."""
        if self._answering is not None or self._reading is not None:
            return True
        if self._queued or self._unparsed:
            return True
        return self.write_buffer_size() > 0

    @property
    def is_answering(self) -> bool:
        """Whether a complete request is with the handler."""
        return self._answering is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection (asyncio callback)."""
        self._transport = cast(asyncio.Transport, transport)
        # uvloop then writes immediately instead of at the end of the loop iteration.
        self._transport.set_write_buffer_limits(high=0)
        peer = transport.get_extra_info("peername")
        self._remote = peer[0] if peer else ""
        self._owner.opened(self)
        self._note_held()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress (asyncio callback)."""
        self._transport = None
        self._free_memory()
        self._owner.closed(self)
        answering = self._answering
        self._answering = None
        if answering is not None:
            answering.release(self._owner.spool)
        self._drop_reading()
        self._drop_queued()
        # Breaks the reference cycle with the parser, so both are freed without a collection.
        del self._parser
        if answering is not None and answering.abort is not None:
            answering.abort()

    def data_received(self, data: bytes) -> None:
        """Parse the received data (asyncio callback)."""
        if self.is_lingering:
            return
        self.last_active_at = self._owner.now
        if not self._unparsed and self._reading is None:
            self._is_pipelined = False
        self._unparsed.add(data)
        self._advance()

    def _parse_piece(self) -> None:
        """Parse up to the end of a head, or a part of a body."""
        reading = self._reading
        if reading is None or not reading.is_past_head:
            # One byte above the limit shows that the head is too large.
            data = self._unparsed.take_head(self._head_room() + 1)
        else:
            remaining = reading.remaining_length()
            data = self._unparsed.take(remaining or MAX_CHUNKED_BYTES_AT_ONCE)
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported; answer the request normally, then close.
            self._queued[-1].closes = True
        except httptools.HttpParserCallbackError:
            raise
        except httptools.HttpParserError as error:
            if not self._queued:
                self._reject_malformed(f"malformed request: {error}")
                return
            # The requests before it are answered, and the last answer closes the connection.
            self._queued[-1].closes = True
            self._is_parser_failed = True
            self._drop_reading()
        if self._reading is not None:
            self._check_size(self._reading)
        elif self._head_room() < 0:
            self._reject_malformed("malformed request: empty lines without end")

    def _head_room(self) -> int:
        return self._owner.limits.max_head_bytes - self._received

    def _check_size(self, reading: Exchange[RequestT]) -> None:
        if not reading.is_past_head:
            limit = self._owner.limits.max_head_bytes
            if self._received > limit:
                self._reject_malformed(f"limit of the head: {limit} bytes", STATUS_HEAD_TOO_LARGE)
        elif reading.framing.exceeds(self._received, reading.size):
            self._reject_malformed("malformed request: more framing than body")
        elif reading.size > reading.limit + MAX_DISCARDED_BYTES:
            self._queue_unread(reading)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin a new request."""
        self._reading = Exchange(InboundRequest(self._remote))
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; fields of a trailer are none (RFC 9110, 6.5.1)."""
        assert self._reading is not None
        if self._reading.is_past_head:
            return
        self._reading.add_header(name.lower(), value)

    def on_headers_complete(self) -> None:
        """Admit or refuse the request based on its head."""
        exchange = self._reading
        assert exchange is not None
        exchange.is_past_head = True
        request = exchange.request
        request.method = self._parser.get_method().decode("latin-1")
        request.target = origin_form(self._target)
        version = self._parser.get_http_version()
        exchange.closes = version != "1.1" or not self._parser.should_keep_alive()
        handler = self._owner.handler
        admitted = handler.admit(request)
        if isinstance(admitted, Refused):
            exchange.refusal = admitted
        else:
            exchange.admitted = admitted
            exchange.limit = handler.max_body_bytes(admitted)
            if exchange.declares_too_large_body():
                exchange.refusal = self._too_large(exchange.limit)
        if b"expect" in request.first:
            self._on_expect(exchange)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body, subject to the size limits."""
        exchange = self._reading
        if exchange is None:
            return
        exchange.size += len(body)
        if exchange.refusal is not None:
            return
        if exchange.size > exchange.limit:
            exchange.refusal = self._too_large(exchange.limit)
            exchange.release(self._owner.spool)
        elif not self._owner.spool.reserve(len(body)):
            detail = "bodies held reach their limit"
            exchange.refusal = self._owner.handler.make_refusal(RefusalReason.OVERLOAD, detail)
            # At once, and not with the answer: others may then be received whole.
            exchange.release(self._owner.spool)
        else:
            exchange.append_body(body)

    def on_message_complete(self) -> None:
        """Queue the complete request; it is handled after the parser returns."""
        exchange = self._reading
        if exchange is None:
            return
        self._reading = None
        self._received = 0
        exchange.complete()
        self._queued.append(exchange)

    # Responses

    def _advance(self) -> None:
        """Parse and handle requests in order until one has to wait for its response."""
        if self._is_advancing:
            return
        self._is_advancing = True
        steps = 0
        while self._can_advance() and steps < MAX_STEPS_AT_ONCE:
            steps += 1
            if self._queued:
                self._handle(self._queued.popleft())
            else:
                self._parse_piece()
                self._note_held()
        self._is_advancing = False
        if self._can_advance():
            asyncio.get_running_loop().call_soon(self._advance)
        if self._unparsed and not self.is_lingering:
            self._reading_state.pause(self._transport)
        else:
            self._reading_state.resume(self._transport)
        self._note_held()

    def _held_bytes(self) -> int:
        exchanges = list(self._queued)
        if self._reading is not None:
            exchanges.append(self._reading)
        requests = sum(exchange.memory_bytes for exchange in exchanges)
        return super()._held_bytes() + len(self._unparsed) + requests

    def _on_no_memory(self) -> None:
        """Refuse what isn't with the handler yet; otherwise close the connection."""
        if self._answering is not None or not (self._queued or self._reading):
            self.abort()
            return
        refused = self._refused_for_memory()
        if self._reading is not None:
            self._queue_unread(self._reading)
        for exchange in self._queued:
            exchange.refuse(refused)
        self._queued[-1].closes = True
        asyncio.get_running_loop().call_soon(self._advance)

    def _refused_for_memory(self) -> Refused:
        detail = "no memory is left for its head"
        return self._owner.handler.make_refusal(RefusalReason.OVERLOAD, detail)

    def abort(self) -> None:
        """Close the connection immediately, and drop what isn't with the handler."""
        self.is_lingering = True
        self._drop_reading()
        self._drop_queued()
        super().abort()

    def _can_advance(self) -> bool:
        if self._transport is None or self._answering is not None or self.is_lingering:
            return False
        can_parse = bool(self._unparsed) and not self._is_parser_failed
        return bool(self._queued) or can_parse

    def _handle(self, exchange: Exchange[RequestT]) -> None:
        self._answering = exchange
        self._owner.request_read(self)
        handler = self._owner.handler
        # What it took while it was received is free for it now.
        self._note_held()
        held = self._request_memory
        if held is not None and not held.resize(exchange.memory_bytes):
            exchange.refuse(self._refused_for_memory())
        if exchange.refusal is not None or exchange.admitted is None:
            assert exchange.refusal is not None
            self._respond(exchange, handler.refusal_response(exchange.refusal))
            return
        abort = handler.handle(
            exchange.request, exchange.admitted, lambda response: self._respond(exchange, response)
        )
        if self._answering is exchange:
            exchange.abort = abort

    def refuse(self, refused: Refused) -> None:
        """Answer the request that is with the handler with a refusal, if there is one."""
        exchange = self._answering
        if exchange is None:
            return
        abort = exchange.abort
        self._respond(exchange, self._owner.handler.refusal_response(refused))
        if abort is not None:
            abort()

    def _respond(self, exchange: Exchange[RequestT], response: Response) -> None:
        if self._answering is not exchange or self._transport is None:
            return
        self._answering = None
        self._owner.request_answered(self)
        if self._request_memory is not None:
            self._request_memory.release()
        exchange.abort = None
        exchange.release(self._owner.spool)
        closes = exchange.closes or self._owner.closing or not response.has_length
        is_head = exchange.request.method == "HEAD"
        data = encode_response(response, is_head=is_head, closes=closes)
        if closes:
            is_delimited_by_end = not response.has_length and has_body(response, is_head=is_head)
            self._send_last(data, exchange, is_delimited_by_end=is_delimited_by_end)
            return
        self._write(data)
        self._is_pipelined = self._is_pipelined or bool(self._unparsed)
        self._advance()

    def _send_last(
        self, data: bytes, exchange: Exchange[RequestT], *, is_delimited_by_end: bool
    ) -> None:
        """Send the last answer of the connection, and end the connection."""
        assert self._transport is not None
        is_lingering = not exchange.is_whole or self._has_more()
        if is_delimited_by_end:
            self._send_delimited_by_end(data, is_lingering=is_lingering)
        else:
            self._write(data)
            self._end_sending(is_lingering=is_lingering)
        self._drop_queued()

    def _too_large(self, limit: int) -> Refused:
        detail = f"limit: {limit} bytes"
        return self._owner.handler.make_refusal(RefusalReason.REQUEST_TOO_LARGE, detail)

    def _on_expect(self, exchange: Exchange[RequestT]) -> None:
        if self._answering is not None or self._transport is None:
            return
        if exchange.refusal is None:
            self._transport.write(CONTINUE)
            return
        # The client waits for 100 Continue; send the refusal instead.
        self._queue_unread(exchange)

    def _queue_unread(self, exchange: Exchange[RequestT]) -> None:
        """Queue a refused request whose body has not been received completely."""
        exchange.closes = True
        self._reading = None
        self._queued.append(exchange)

    def _reject_malformed(self, detail: str, status: int = STATUS_BAD_REQUEST) -> None:
        """Answer unparsable input and end the connection.

        What came together with requests that were answered isn't answered itself: a client could
        take the rejection for the answer to one of them.
        """
        if self._transport is None:
            return
        if self._answering is None and not self._is_pipelined:
            response = self._owner.handler.malformed_response(detail, status)
            self._transport.write(encode_response(response, is_head=False, closes=True))
        self._end_sending(is_lingering=True)

    def _has_more(self) -> bool:
        """Return whether the client sent more than the request that was answered."""
        is_waiting = bool(self._queued or self._unparsed)
        return is_waiting or self._is_parser_failed or self._reading is not None

    def _drop_reading(self) -> None:
        """Drop a request that has not been received completely."""
        if self._reading is not None:
            self._reading.release(self._owner.spool)
            self._reading = None

    def _drop_queued(self) -> None:
        """Drop what is not handled because the connection closes."""
        self._unparsed.clear()
        for exchange in self._queued:
            exchange.release(self._owner.spool)
        self._queued.clear()
