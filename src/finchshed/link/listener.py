"""The accepting side of links: connections opened by other daemons.

A peer must connect from an allowed network and send Hello first. A malformed, oversized or
unexpected line closes only its own connection. When a connection closes, its calls in progress are
reported to the owner as cancelled. Owns the accepted links; the owner answers the calls.
"""

import asyncio
from collections.abc import Sequence

import msgspec
from loguru import logger

from finchshed.common.errors import ProtocolError
from finchshed.common.memory_budget import LARGE_BYTES, MemoryBudget
from finchshed.common.outcomes import Answered, Failed, FailureReason
from finchshed.distribution.messages import Delta, Fetch
from finchshed.limit.sent_slowdown import SentSlowdown
from finchshed.link.digests import digest_of
from finchshed.link.encoding import encoded_size
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
from finchshed.link.networks import PeerNetworks
from finchshed.link.owners import ListenerOwner
from finchshed.observability.instruments import Counter, Gauge
from finchshed.quarantine.messages import CrashNews
from finchshed.runtime import clock
from finchshed.tls.names import hello_identities, identity_mismatch

LINKS_REFUSED = Counter(
    "finchshed_links_refused_total", "Connections of peers closed for a fault", ["cause"]
)
LINKS_ACCEPTED = Gauge("finchshed_links_accepted", "Links other daemons hold to this one")


class AcceptedLink:
    """A connection opened by a peer.

    Attributes
    ----------
    told
        What the last load report said of the slowdown.
    """

    def __init__(
        self,
        lines: LineProtocol[PeerMessage],
        owner: "ListenerOwner[AcceptedLink]",
        max_unsent_bytes: int,
    ) -> None:
        self.lines = lines
        self._max_unsent_bytes = max_unsent_bytes
        self.peer: Hello | None = None
        self.calls: set[int] = set()
        self.last_received_at = 0.0
        self.sent_slowdown = SentSlowdown()
        self._owner = owner
        self._highest_call = 0
        self._longest_unsent = 0
        self._seen_revision = 0

    def reply(self, reply: Reply) -> bool:
        """Send a reply; return False if the call was cancelled or the link is closed.

        Closes the link if the peer has left too many bytes unread, to bound memory use. A large
        answer that can't be queued beside others fails alone.
        """
        if reply.call not in self.calls:
            return False
        self.calls.discard(reply.call)
        self.sent_slowdown.on_report(reply.load.slowdown, clock.now())
        unsent = self.lines.unsent_bytes()
        if unsent == 0:
            self._longest_unsent = 0
        if unsent > self._max_unsent_bytes + self._longest_unsent:
            LINKS_REFUSED.labels("full").inc()
            self.lines.abort()
            return False
        if isinstance(reply.outcome, Answered) and not self._has_room(len(reply.outcome.body)):
            reply = msgspec.structs.replace(reply, outcome=_no_room(), digest="")
        sent = self.lines.send(reply)
        self._longest_unsent = max(self._longest_unsent, sent)
        return sent > 0

    def _has_room(self, body_bytes: int) -> bool:
        """Return whether a body can be queued.

        One that is larger than the limit of unsent bytes can be while no other large one is.
        """
        if body_bytes <= LARGE_BYTES:
            return True
        unsent = self.lines.unsent_bytes()
        is_full = unsent + encoded_size(body_bytes) > self._max_unsent_bytes
        return (unsent <= LARGE_BYTES or not is_full) and self.lines.has_room(body_bytes)

    @property
    def epoch(self) -> str:
        """Epoch chosen by the peer; empty before its Hello."""
        return "" if self.peer is None else self.peer.epoch

    def send_hello(self) -> None:
        """Send Hello again after the back end was restarted."""
        if self.peer is not None:
            self.lines.send(self._owner.hello(self.peer.epoch))

    def send_load(self) -> None:
        """Send a load report, solicited or not; it revokes an earlier draining announcement."""
        if self.peer is None:
            return
        load = self._owner.load_report()
        self.sent_slowdown.on_report(load.slowdown, clock.now())
        self.lines.send(Pong(epoch=self.epoch, load=load, revision=self._owner.revision()))

    def send_draining(self) -> None:
        """Announce that no new calls are accepted."""
        if self.peer is not None:
            self.lines.send(Draining(epoch=self.peer.epoch))

    def send_crash_news(self, news: CrashNews) -> None:
        """Send updates on requests that crash back ends."""
        if self.peer is not None:
            self.lines.send(news)

    def fetch(self, revision: int) -> None:
        """Request the configuration changes after ``revision``."""
        self.lines.send(Fetch(revision=revision))

    def on_message(self, message: PeerMessage) -> None:
        """Handle a message; raise ProtocolError if it is not allowed here."""
        if self.peer is None:
            self._on_hello(message)
        elif isinstance(message, Call):
            self._on_call(message)
        elif isinstance(message, Cancel):
            self._on_cancel(message)
        elif isinstance(message, Ping):
            self._on_ping(message)
        elif isinstance(message, Fetch):
            self._on_fetch(message)
        elif isinstance(message, Delta):
            self._owner.accepted_delta_received(self, message)
        elif isinstance(message, CrashNews):
            self._owner.crash_news_received(message)
        else:
            raise ProtocolError(f"unexpected {type(message).__name__} message from a calling peer")

    def on_closed(self) -> None:
        """Cancel the calls in progress (connection closed)."""
        calls = self.calls
        self.calls = set()
        for call in calls:
            self._owner.call_cancelled(self, call)

    def _on_hello(self, message: PeerMessage) -> None:
        if not isinstance(message, Hello) or not message.epoch or not message.node:
            raise ProtocolError(
                f"expected Hello with a node and an epoch, got {type(message).__name__}"
            )
        claims = hello_identities(message.node, message.service, message.zone)
        if fault := identity_mismatch(self.lines.transport, claims):
            raise ProtocolError(fault)
        self.peer = message
        self.lines.complete_handshake()
        hello = self._owner.hello(message.epoch)
        self.lines.send(msgspec.structs.replace(hello, compressed=message.compressed))
        if message.compressed:
            self.lines.start_compressing()
            self.lines.start_decompressing()
        news = self._owner.crash_news()
        if news is not None:
            self.send_crash_news(news)
        self._note_revision(message.revision)

    def _on_call(self, call: Call) -> None:
        if call.epoch != self.epoch:
            raise ProtocolError(f"the epoch of call {call.call} differs from that of the link")
        if call.call <= self._highest_call:
            raise ProtocolError(f"call number {call.call} is not above {self._highest_call}")
        if digest_of(call.body) != call.digest:
            raise ProtocolError(f"the body of call {call.call} does not match its digest")
        self._highest_call = call.call
        self.calls.add(call.call)
        self._note_revision(call.revision)
        self._owner.call_received(self, call)

    def _on_cancel(self, cancel: Cancel) -> None:
        if cancel.epoch == self.epoch and cancel.call in self.calls:
            self.calls.discard(cancel.call)
            self._owner.call_cancelled(self, cancel.call)

    def _on_ping(self, ping: Ping) -> None:
        self._note_revision(ping.revision)
        self.send_load()

    def _on_fetch(self, fetch: Fetch) -> None:
        delta = self._owner.delta_for(fetch.revision)
        if delta is not None:
            self.lines.send(delta)

    def _note_revision(self, revision: int) -> None:
        if revision > self._seen_revision:
            self._seen_revision = revision
            self._owner.accepted_revision_seen(self, revision)


class LinkListener:
    """Accepts connections of other daemons.

    Parameters
    ----------
    owner
        Answers calls.
    networks
        Networks (CIDR) from which connections are accepted.
    silence_seconds
        A link is closed after receiving nothing for this long; callers send heartbeats.
    max_unsent_bytes
        A link is closed when a reply is due while more bytes than this are unsent.
    memory
        Budget of lines being received and of unsent ones; None for no bound.
    """

    def __init__(
        self,
        owner: ListenerOwner[AcceptedLink],
        networks: Sequence[str],
        *,
        silence_seconds: float,
        max_unsent_bytes: int,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._owner = owner
        self._networks = PeerNetworks(networks)
        self._silence_seconds = silence_seconds
        self._max_unsent_bytes = max_unsent_bytes
        self._memory = memory
        self._links: dict[LineProtocol[PeerMessage], AcceptedLink] = {}

    def make_protocol(self) -> asyncio.Protocol:
        """Create the protocol of an accepted connection."""
        return LineProtocol(
            PeerMessage,
            self._on_message,
            on_open=self._on_open,
            on_close=self._on_close,
            requires_handshake=True,
            memory=self._memory,
        )

    def links(self) -> list[AcceptedLink]:
        """Return the open links."""
        return list(self._links.values())

    def close_silent(self, now: float) -> None:
        """Close links whose peer has been silent for too long (frozen or partitioned)."""
        for link in self.links():
            if now - link.last_received_at >= self._silence_seconds:
                self._refuse(link.lines, "silent")

    def close(self) -> None:
        """Close every link after sending its queued data."""
        for lines in list(self._links):
            lines.close()

    def _on_open(self, lines: LineProtocol[PeerMessage]) -> None:
        if not self._networks.allow(lines.peer_address):
            self._refuse(lines, "network")
            return
        link = AcceptedLink(lines, self._owner, self._max_unsent_bytes)
        link.last_received_at = clock.now()
        self._links[lines] = link
        LINKS_ACCEPTED.inc()

    def _on_message(self, lines: LineProtocol[PeerMessage], message: PeerMessage) -> None:
        link = self._links.get(lines)
        if link is None:
            return
        link.last_received_at = clock.now()
        try:
            link.on_message(message)
        except ProtocolError as error:
            logger.warning("link from {} closed: {}", lines.peer_address, error)
            self._refuse(lines, "protocol")

    def _on_close(self, lines: LineProtocol[PeerMessage], error: Exception | None) -> None:
        link = self._links.pop(lines, None)
        if link is None:
            return
        LINKS_ACCEPTED.dec()
        if isinstance(error, ProtocolError):
            logger.warning("link from {} closed: {}", lines.peer_address, error)
            LINKS_REFUSED.labels("protocol").inc()
        link.on_closed()

    def _refuse(self, lines: LineProtocol[PeerMessage], cause: str) -> None:
        LINKS_REFUSED.labels(cause).inc()
        lines.abort()


def _no_room() -> Failed:
    """Return the outcome of a call whose answer can't be queued beside others."""
    return Failed(FailureReason.ANSWER_TOO_LARGE, 0.0, "no room is left to send the answer")
