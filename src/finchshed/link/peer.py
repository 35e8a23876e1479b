"""The calling side of a link: one connection to another daemon.

Calls are pipelined and numbered. Each call ends exactly once, with a reply on its own connection or
with the end of that connection. Replies with another epoch or an unknown call number are counted
and dropped. Owns the pending calls; the owner of the link provides its Hello.
"""

import asyncio
import secrets

import msgspec
from loguru import logger

from finchshed.common.errors import ProtocolError
from finchshed.common.memory_budget import MemoryBudget
from finchshed.distribution.messages import Delta, Fetch
from finchshed.link.digests import digest_of
from finchshed.link.encoding import encode_line
from finchshed.link.heartbeats import LinkHeartbeats
from finchshed.link.lines import LineProtocol
from finchshed.link.messages import (
    Call,
    Cancel,
    Draining,
    Hello,
    PeerMessage,
    Ping,
    Pong,
    Reply,
)
from finchshed.link.owners import LinkOwner
from finchshed.link.silence import SilenceDetector
from finchshed.link.states import CallContent, Connect, LinkState, ReplyCallback, SendResult
from finchshed.observability.instruments import Counter
from finchshed.quarantine.messages import CrashNews
from finchshed.tls.names import hello_identities, identity_mismatch

EPOCH_BYTES = 8
"""Number of random bytes in an epoch; makes collisions between two daemons negligible."""

LATE_REPLIES = Counter(
    "finchshed_link_late_replies_total", "Replies to calls nobody waits for any more"
)
LINKS_BROKEN = Counter("finchshed_links_broken_total", "Links lost or given up on", ["cause"])


class PeerLink:
    """A link to the daemon at ``address``.

    Parameters
    ----------
    address
        ``a.b.c.d:port`` of the peer's link listener.
    owner
        Receives the events of the link.
    max_unsent_bytes
        Calls are rejected while more bytes than this are unsent.
    silence_seconds
        Time without received data after which an unresponsive link is closed.
    heartbeat_seconds
        Heartbeat interval while calls are in progress.
    idle_heartbeat_seconds
        Heartbeat interval while no call is in progress.
    connect
        Opens the connection; None uses the event loop. Replaced for fault injection.
    asks_compression
        Whether to request compression of both directions.
    memory
        Budget of lines being received and of unsent ones; None for no bound.
    """

    def __init__(
        self,
        address: str,
        owner: "LinkOwner[PeerLink]",
        *,
        max_unsent_bytes: int,
        silence_seconds: float,
        heartbeat_seconds: float,
        idle_heartbeat_seconds: float = 0.0,
        connect_timeout_seconds: float,
        connect: Connect | None = None,
        asks_compression: bool = False,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.address = address
        self.state = LinkState.CONNECTING
        self.epoch = secrets.token_hex(EPOCH_BYTES)
        self.peer: Hello | None = None
        self.last_call_at = asyncio.get_running_loop().time()
        self._owner = owner
        self._max_unsent_bytes = max_unsent_bytes
        self._connect_timeout_seconds = connect_timeout_seconds
        self._pending: dict[int, ReplyCallback] = {}
        self._next_call = 1
        self._loop = asyncio.get_running_loop()
        self._connect: Connect = connect or self._loop.create_connection
        self._lines: LineProtocol[PeerMessage] | None = None
        self._seen_revision = 0
        self._asks_compression = asks_compression
        self._memory = memory
        self._heartbeats = LinkHeartbeats(
            SilenceDetector(heartbeat_seconds, idle_heartbeat_seconds, silence_seconds),
            self._loop,
            is_busy=lambda: bool(self._pending),
            send_heartbeat=self._send_heartbeat,
            on_silent=lambda: self._end("silent"),
        )

    @property
    def calls_in_progress(self) -> int:
        """Number of calls sent and not yet answered."""
        return len(self._pending)

    async def connect(self) -> None:
        """Open the connection; the outcome is reported to the owner."""
        host, port = self.address.rsplit(":", 1)
        try:
            async with asyncio.timeout(self._connect_timeout_seconds):
                await self._connect(self._make_protocol, host, int(port))
        except (OSError, TimeoutError) as error:
            self._end(f"connect: {error}")

    def send_call(self, content: CallContent, on_reply: ReplyCallback) -> tuple[SendResult, int]:
        """Send a call; return the result and the call's number, or 0 if it was not sent.

        ``on_reply`` is called only if the result is ``SENT``.
        """
        lines = self._lines
        if self.state is not LinkState.OPEN or lines is None or not lines.is_open:
            return SendResult.CLOSED, 0
        if lines.unsent_bytes() > self._max_unsent_bytes:
            return SendResult.FULL, 0
        number = self._next_call
        self._next_call += 1
        message = self._make_call(content, number)
        self._pending[number] = on_reply
        lines.send(message)
        now = self._loop.time()
        self.last_call_at = now
        self._heartbeats.on_call_sent(now)
        return SendResult.SENT, number

    def _make_call(self, content: CallContent, number: int) -> Call:
        return Call(
            epoch=self.epoch,
            call=number,
            service=content.service,
            method=content.method,
            path=content.path,
            headers=content.headers,
            body=content.body,
            digest=digest_of(content.body),
            context=content.context,
            revision=content.revision,
            route=content.route,
            repeatable=content.repeatable,
            identity=content.identity,
            rate_limit=content.rate_limit,
        )

    def cancel_call(self, identity: int) -> None:
        """Cancel a call and notify the peer; a late reply is dropped."""
        if self._pending.pop(identity, None) is None:
            return
        self._send(Cancel(epoch=self.epoch, call=identity))

    def fetch(self, revision: int) -> None:
        """Request the configuration changes after ``revision``."""
        self._send(Fetch(revision=revision))

    def send_crash_news(self, news: CrashNews) -> None:
        """Send updates on requests that crash back ends, if the link is open."""
        if self.state is LinkState.OPEN:
            self._send(news)

    def close(self, cause: str) -> None:
        """Close the link; the callbacks of pending calls receive None."""
        self._end(cause)

    def _make_protocol(self) -> LineProtocol[PeerMessage]:
        return LineProtocol(
            PeerMessage,
            self._on_message,
            on_open=self._on_open,
            on_close=self._on_close,
            requires_handshake=True,
            memory=self._memory,
        )

    def _on_open(self, lines: LineProtocol[PeerMessage]) -> None:
        if self.state is LinkState.CLOSED:
            lines.abort()
            return
        self._lines = lines
        hello = self._owner.hello(self.epoch)
        lines.send(msgspec.structs.replace(hello, compressed=self._asks_compression))
        self._heartbeats.start()

    def _on_close(self, lines: LineProtocol[PeerMessage], error: Exception | None) -> None:
        if isinstance(error, ProtocolError):
            logger.warning("link to {} closed: {}", self.address, error)
        self._end("protocol" if isinstance(error, ProtocolError) else "closed by peer")

    def _on_message(self, lines: LineProtocol[PeerMessage], message: PeerMessage) -> None:
        self._heartbeats.on_received()
        if isinstance(message, Hello):
            self._on_hello(lines, message)
        elif self.state is not LinkState.OPEN:
            self._end("protocol")
        elif isinstance(message, Reply):
            self._on_reply(message)
        elif isinstance(message, Pong):
            if message.epoch == self.epoch:
                self._owner.load_reported(self, message.load)
                self._note_revision(message.revision)
        elif isinstance(message, Draining):
            if message.epoch == self.epoch:
                self._owner.peer_draining(self)
        elif isinstance(message, Fetch):
            self._answer_fetch(message)
        elif isinstance(message, Delta):
            self._owner.delta_received(self, message)
        elif isinstance(message, CrashNews):
            self._owner.crash_news_received(message)
        else:
            self._end("protocol")

    def _on_hello(self, lines: LineProtocol[PeerMessage], hello: Hello) -> None:
        """Handle the first Hello, or a repeated one after the peer's back end restarted."""
        if hello.epoch != self.epoch:
            self._end("protocol")
            return
        claims = hello_identities(hello.node, hello.service, hello.zone)
        if fault := identity_mismatch(lines.transport, claims):
            logger.warning("link to {} closed: {}", self.address, fault)
            self._end("protocol")
            return
        lines.complete_handshake()
        if self.peer is None and self._asks_compression and hello.compressed:
            lines.start_compressing()
            lines.start_decompressing()
        news = self._owner.crash_news() if self.peer is None else None
        self.state = LinkState.OPEN
        self.peer = hello
        if news is not None:
            self._send(news)
        self._owner.link_opened(self, hello)
        if hello.draining:
            self._owner.peer_draining(self)
        self._note_revision(hello.revision)

    def _on_reply(self, reply: Reply) -> None:
        callback = None
        if reply.epoch == self.epoch:
            callback = self._pending.pop(reply.call, None)
        if callback is None:
            LATE_REPLIES.inc()
            return
        callback(reply)
        self._note_revision(reply.revision)

    def _answer_fetch(self, fetch: Fetch) -> None:
        delta = self._owner.delta_for(fetch.revision)
        if delta is not None:
            self._send(delta)

    def _note_revision(self, revision: int) -> None:
        if revision > self._seen_revision:
            self._seen_revision = revision
            self._owner.revision_seen(self, revision)

    def _send(self, message: msgspec.Struct) -> None:
        if self._lines is not None:
            self._lines.send_encoded(encode_line(message))

    def request_revision(self) -> None:
        """Send a heartbeat; the response carries the revision held by the peer."""
        self._heartbeats.send_now()

    def _send_heartbeat(self) -> bool:
        if self.state is not LinkState.OPEN:
            return False
        self._send(Ping(epoch=self.epoch))
        return True

    def _end(self, cause: str) -> None:
        if self.state is LinkState.CLOSED:
            return
        self.state = LinkState.CLOSED
        LINKS_BROKEN.labels(cause.split(":", 1)[0]).inc()
        self._heartbeats.stop()
        if self._lines is not None:
            self._lines.abort()
        pending = self._pending
        self._pending = {}
        for callback in pending.values():
            callback(None)
        self._owner.link_closed(self, cause)
