"""One connection of the HTTP listener; parsing is httptools' (llhttp).

Requests on a connection are answered in their order. A request is handed on only when it is whole,
and its answer is written only when that is whole too. Owns the requests of its connection; relies
on the listener's handler to judge and answer them.
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
    origin_form,
)
from finchshed.http.status import STATUS_BAD_REQUEST, STATUS_HEAD_TOO_LARGE

MAX_DISCARDED_BYTES = 1 << 20
"""Bytes of a refused request's body past its limit that are read and dropped, so that its sender
sees the answer and not a reset; chosen, not measured."""


class InboundConnection(asyncio.Protocol, Generic[RequestT]):
    """A connection of a caller."""

    def __init__(self, owner: "ConnectionOwner[RequestT, InboundConnection[RequestT]]") -> None:
        self._owner = owner
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._remote = ""
        self._target = b""
        self._head_bytes = 0
        self._reading: Exchange[RequestT] | None = None
        self._answering: Exchange[RequestT] | None = None
        self._queued: deque[Exchange[RequestT]] = deque()
        self._held: list[bytes] = []
        self._is_advancing = False
        self.is_lingering = False
        self.last_active_at = owner.now
        self.unsent_bytes = 0

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered, or an answer is on its way out."""
        if self._answering is not None or self._reading is not None or self._queued:
            return True
        return self.write_buffer_size() > 0

    @property
    def is_answering(self) -> bool:
        """Whether a whole request waits for its answer."""
        return self._answering is not None

    def write_buffer_size(self) -> int:
        """Return the bytes that wait to be sent."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def close(self) -> None:
        """Close once what is queued has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio callback)."""
        self._transport = cast(asyncio.Transport, transport)
        # Answers go out at once, not at the end of the loop's round.
        self._transport.set_write_buffer_limits(high=0)
        peer = transport.get_extra_info("peername")
        self._remote = peer[0] if peer else ""
        self._owner.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up what is in progress (asyncio callback)."""
        self._transport = None
        self._owner.closed(self)
        answering = self._answering
        self._answering = None
        for exchange in (self._reading, answering, *self._queued):
            if exchange is not None:
                self._release(exchange)
        self._reading = None
        self._queued.clear()
        # The parser refers back to this connection: without the cycle both are freed at once.
        del self._parser
        if answering is not None and answering.give_up is not None:
            answering.give_up()

    def data_received(self, data: bytes) -> None:
        """Parse what came in (asyncio callback)."""
        if self.is_lingering:
            return
        self.last_active_at = self._owner.now
        if self._answering is not None:
            # The next request came before the answer to this one: it waits unparsed.
            self._held.append(data)
            if self._transport is not None:
                self._transport.pause_reading()
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No other protocol is offered: the request itself is answered as any other.
            self._queued[-1].closes = True
        except httptools.HttpParserCallbackError:
            raise
        except httptools.HttpParserError as error:
            self._end_malformed(f"malformed request: {error}")
            return
        if self._reading is not None:
            self._check_size(self._reading)
        self._advance()

    def _check_size(self, reading: Exchange[RequestT]) -> None:
        if reading.admitted is None and reading.refusal is None:
            limit = self._owner.limits.max_head_bytes
            if self._head_bytes > limit:
                self._end_malformed(f"limit of the head: {limit} bytes", STATUS_HEAD_TOO_LARGE)
        elif reading.size > reading.limit + MAX_DISCARDED_BYTES:
            self._queue_unread(reading)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reading = Exchange(InboundRequest(self._remote))
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Keep a part of the request's target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        assert self._reading is not None
        name = name.lower()
        request = self._reading.request
        request.headers.append((name, value))
        request.first.setdefault(name, value)

    def on_headers_complete(self) -> None:
        """Judge the request by its head."""
        exchange = self._reading
        assert exchange is not None
        request = exchange.request
        request.method = self._parser.get_method().decode("latin-1")
        request.target = origin_form(self._target)
        keeps_alive = self._parser.should_keep_alive()
        exchange.closes = not keeps_alive or self._parser.get_http_version() != "1.1"
        handler = self._owner.handler
        admitted = handler.admit(request)
        if isinstance(admitted, Refused):
            exchange.refusal = admitted
        else:
            exchange.admitted = admitted
            exchange.limit = handler.max_body_bytes(admitted)
            self._check_declared_length(exchange)
        if b"expect" in request.first:
            self._on_expect(exchange)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body within its limits."""
        exchange = self._reading
        if exchange is None:
            return
        exchange.size += len(body)
        if exchange.refusal is not None:
            return
        if exchange.size > exchange.limit:
            exchange.refusal = self._too_large(exchange.limit)
        elif not self._owner.spool.reserve(len(body)):
            detail = "bodies held reach their limit"
            exchange.refusal = self._owner.handler.make_refusal(RefusalReason.OVERLOAD, detail)
        else:
            exchange.keep(body)

    def on_message_complete(self) -> None:
        """Queue the whole request; it is handed on once the parser has returned."""
        exchange = self._reading
        if exchange is None:
            return
        self._reading = None
        self._head_bytes = 0
        exchange.complete()
        self._queued.append(exchange)

    # Answering.

    def _advance(self) -> None:
        """Answer the whole requests that wait, one after the other."""
        if self._is_advancing:
            return
        self._is_advancing = True
        while self._queued and self._answering is None and self._transport is not None:
            self._begin(self._queued.popleft())
        self._is_advancing = False

    def _begin(self, exchange: Exchange[RequestT]) -> None:
        self._answering = exchange
        handler = self._owner.handler
        if exchange.refusal is not None or exchange.admitted is None:
            assert exchange.refusal is not None
            self._respond(exchange, handler.refusal_response(exchange.refusal))
            return
        give_up = handler.handle(
            exchange.request, exchange.admitted, lambda response: self._respond(exchange, response)
        )
        if self._answering is exchange:
            exchange.give_up = give_up

    def _respond(self, exchange: Exchange[RequestT], response: Response) -> None:
        if self._answering is not exchange or self._transport is None:
            return
        self._answering = None
        exchange.give_up = None
        self._release(exchange)
        closes = exchange.closes or self._owner.closing or not response.has_length
        is_head = exchange.request.method == "HEAD"
        self._transport.write(encode_response(response, is_head=is_head, closes=closes))
        if closes:
            self._queued.clear()
            self._end_sending(is_lingering=not exchange.is_whole)
            return
        if not self._is_advancing:
            self._advance()
        if self._answering is None and self._held:
            self._parse_held()

    def _parse_held(self) -> None:
        held = self._held
        self._held = []
        if self._transport is not None:
            self._transport.resume_reading()
        while held and self._answering is None and self._transport is not None:
            self._parse(held.pop(0))
        self._held = held + self._held

    def _check_declared_length(self, exchange: Exchange[RequestT]) -> None:
        declared = exchange.request.first.get(b"content-length")
        if declared is not None and int(declared) > exchange.limit:
            exchange.refusal = self._too_large(exchange.limit)

    def _too_large(self, limit: int) -> Refused:
        detail = f"limit: {limit} bytes"
        return self._owner.handler.make_refusal(RefusalReason.REQUEST_TOO_LARGE, detail)

    def _on_expect(self, exchange: Exchange[RequestT]) -> None:
        if self._answering is not None or self._transport is None:
            return
        if exchange.refusal is None:
            self._transport.write(CONTINUE)
            return
        # The sender waits for leave to send the body, and is not given it.
        self._queue_unread(exchange)

    def _queue_unread(self, exchange: Exchange[RequestT]) -> None:
        """Have a refused request answered though its body has not come in whole."""
        exchange.closes = True
        self._reading = None
        self._queued.append(exchange)

    def _end_malformed(self, detail: str, status: int = STATUS_BAD_REQUEST) -> None:
        """Answer what can't be read on from here, and end the connection."""
        if self._transport is None:
            return
        if self._answering is None:
            response = self._owner.handler.malformed_response(detail, status)
            self._transport.write(encode_response(response, is_head=False, closes=True))
        self._end_sending(is_lingering=True)

    def _end_sending(self, *, is_lingering: bool) -> None:
        """Close, or leave it to the other side, so that it reads the answer before the end."""
        self.is_lingering = True
        if self._transport is None:
            return
        if is_lingering and self._transport.can_write_eof():
            self._transport.write_eof()
        else:
            self._transport.close()

    def _release(self, exchange: Exchange[RequestT]) -> None:
        self._owner.spool.release(exchange.spooled)
        exchange.spooled = 0
