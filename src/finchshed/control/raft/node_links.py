"""Connections between control nodes: each node dials every other one and sends on its own link.

Owns the connections. Replies to forwarded requests return on the link the request arrived on.
Delivery is best effort: the replicated log resends and reports are repeated, so messages to a peer
that doesn't read are dropped instead of blocking the sender.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import TypeAlias

from loguru import logger

from finchshed.common.backoff import Backoff
from finchshed.control.addresses import split_address
from finchshed.control.background import BackgroundTasks
from finchshed.control.raft.node_messages import PeerHello, PeerMessage, RaftMessage
from finchshed.distribution.status import InForceReport
from finchshed.link.lines import LineProtocol
from finchshed.link.networks import PeerNetworks
from finchshed.observability.instruments import Counter
from finchshed.tls.credentials import Credentials
from finchshed.tls.handshakes import Connector, Server, listening_socket, start_server
from finchshed.tls.names import CertificateRole, identity_mismatch, identity_uri

PeerLink: TypeAlias = LineProtocol[PeerMessage]
MessageHandler: TypeAlias = Callable[[PeerLink, PeerMessage], None]

MAX_LINE_BYTES = 96 << 20
"""Longest line accepted from another control node; a state snapshot is sent as one line."""

DEFAULT_MAX_UNSENT_BYTES = 32 << 20
"""Default size of a peer's send buffer above which messages to it are dropped."""

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout of one connection attempt."""

DIAL_BACKOFF = Backoff(first_seconds=0.05, longest_seconds=1.0)
"""Backoff after consecutive failed dials. No jitter: groups are small, and an inbound connection
from a node ends the backoff to it."""

MAX_QUEUED_MESSAGES = 64
"""Messages queued while connecting; the oldest are dropped first."""

TCP_USER_TIMEOUT_MILLISECONDS = 3_000
"""TCP_USER_TIMEOUT: a connection with data unacknowledged for this long is closed.

After a network partition heals, a new connection recovers faster than the kernel's backed-off
retransmission.
"""

DROPPED_MESSAGES = Counter(
    "finchshed_control_peer_dropped", "Messages to control nodes dropped: buffer full or no link"
)


class _OutboundLink:
    """Outbound link to one address, opened on demand and reopened after it closes."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.link: PeerLink | None = None
        self.queued: list[PeerMessage] = []
        self.is_connecting = False
        self.failures = 0
        self.opened_at = 0.0
        self.peer_seen = asyncio.Event()

    def next_backoff(self) -> float:
        """Count a failure and return the seconds to wait after it."""
        pause = DIAL_BACKOFF.bound(self.failures)
        self.failures += 1
        return pause


class ControlNodeLinks:
    """All connections of one control node to its peers.

    Parameters
    ----------
    hello
        First message on each outbound connection.
    on_message
        Called with each message and the link it arrived on.
    networks
        Networks from which peers may connect; None for any.
    credentials
        TLS credentials; None for plain text.
    max_unsent_bytes
        Messages to a peer are dropped while its send buffer exceeds this size.
    """

    def __init__(
        self,
        hello: PeerHello,
        on_message: MessageHandler,
        background: BackgroundTasks,
        networks: PeerNetworks | None = None,
        *,
        credentials: Credentials | None = None,
        max_unsent_bytes: int = DEFAULT_MAX_UNSENT_BYTES,
    ) -> None:
        self._credentials = credentials
        self._max_unsent_bytes = max_unsent_bytes
        self._open_connection = Connector(credentials, CertificateRole.CONTROL)
        self._hello = hello
        self._on_message = on_message
        self._background = background
        self._networks = networks
        self._outbound: dict[str, _OutboundLink] = {}
        self._hello_by_link: dict[PeerLink, PeerHello] = {}
        self._inbound: set[PeerLink] = set()
        self._server: Server | None = None
        self._is_closed = False
        self.distribution_addresses: dict[str, str] = {}

    async def start(self, address: str) -> None:
        """Listen at ``address``."""
        host, port = split_address(address)
        self._server = await start_server(
            self._make_inbound, self._credentials, listening_socket(host, port)
        )

    def stop(self) -> None:
        """Close every connection."""
        self._is_closed = True
        if self._server is not None:
            self._server.close()
        for link in list(self._inbound):
            link.close()
        for outbound in self._outbound.values():
            if outbound.link is not None:
                outbound.link.close()

    def send(self, address: str, message: PeerMessage) -> bool:
        """Send to the node at ``address``; return False if the message is dropped."""
        if self._is_closed:
            return False
        outbound = self._outbound.get(address)
        if outbound is None:
            outbound = self._outbound[address] = _OutboundLink(address)
        if outbound.link is not None and outbound.link.is_open:
            return self._send_or_drop(outbound.link, message)
        outbound.queued.append(message)
        del outbound.queued[:-MAX_QUEUED_MESSAGES]
        if not outbound.is_connecting:
            outbound.is_connecting = True
            self._background.spawn(self._connect(outbound))
        return True

    def name_of(self, link: PeerLink) -> str:
        """Return the name of the node that opened ``link``, or an empty string."""
        hello = self._hello_by_link.get(link)
        return "" if hello is None else hello.node

    def _send_or_drop(self, link: PeerLink, message: PeerMessage) -> bool:
        if link.unsent_bytes() > self._max_unsent_bytes or link.send(message) == 0:
            DROPPED_MESSAGES.inc()
            return False
        return True

    async def _pause_after_early_close(self, outbound: _OutboundLink) -> None:
        """Back off if the peer closed the previous connection soon after it opened.

        In TLS 1.3 a peer rejects the client certificate only after the client's handshake is
        complete, so a rejection looks like an early close.
        """
        link, outbound.link = outbound.link, None
        if self._credentials is None or link is None:
            return
        open_seconds = asyncio.get_running_loop().time() - outbound.opened_at
        if open_seconds >= DIAL_BACKOFF.longest_seconds:
            outbound.failures = 0
            return
        await asyncio.sleep(outbound.next_backoff())

    async def _connect(self, outbound: _OutboundLink) -> None:
        await self._pause_after_early_close(outbound)
        link = await self._dial(outbound)
        if link is None and outbound.peer_seen.is_set():
            # The peer came up during the dial; the pending SYN retransmission would be slower.
            link = await self._dial(outbound)
        if link is None:
            DROPPED_MESSAGES.inc(len(outbound.queued))
            outbound.queued.clear()
            await _wait_before_redial(outbound)
            outbound.is_connecting = False
            return
        if self._credentials is None:
            outbound.failures = 0
        outbound.opened_at = asyncio.get_running_loop().time()
        outbound.is_connecting = False
        outbound.link = link
        _set_user_timeout(link)
        link.send(self._hello)
        queued, outbound.queued = outbound.queued, []
        for message in queued:
            self._send_or_drop(link, message)

    async def _dial(self, outbound: _OutboundLink) -> PeerLink | None:
        """Open a connection; return None on failure or if the peer connects here meanwhile.

        The kernel retransmits an unanswered SYN only after a second. A peer that comes up in
        between is noticed earlier by its own inbound connection.
        """
        outbound.peer_seen.clear()
        link = self._make_outbound()
        host, port = split_address(outbound.address)
        dialing = asyncio.ensure_future(self._open_connection(lambda: link, host, port))
        seen = asyncio.ensure_future(outbound.peer_seen.wait())
        first = asyncio.FIRST_COMPLETED
        try:
            await asyncio.wait((dialing, seen), timeout=CONNECT_TIMEOUT_SECONDS, return_when=first)
            if not dialing.done():
                return None
            dialing.result()
        except OSError:
            return None
        finally:
            seen.cancel()
            dialing.cancel()
        return link

    def _redial_now(self, peer_address: str) -> None:
        """End the backoff to a peer that has just connected here."""
        host = split_address(peer_address)[0]
        for outbound in self._outbound.values():
            if split_address(outbound.address)[0] == host:
                outbound.failures = 0
                outbound.peer_seen.set()

    def _make_outbound(self) -> PeerLink:
        return LineProtocol(PeerMessage, self._on_message, max_line_bytes=MAX_LINE_BYTES)

    def _make_inbound(self) -> PeerLink:
        return LineProtocol(
            PeerMessage,
            self._on_inbound_message,
            on_open=self._on_inbound_open,
            on_close=self._on_inbound_close,
            max_line_bytes=MAX_LINE_BYTES,
            requires_handshake=True,
            networks=self._networks,
        )

    def _on_inbound_open(self, link: PeerLink) -> None:
        self._inbound.add(link)
        _set_user_timeout(link)

    def _on_inbound_close(self, link: PeerLink, error: Exception | None) -> None:
        self._inbound.discard(link)
        self._hello_by_link.pop(link, None)
        if error is not None:
            logger.info("peer link from {} closed: {}", link.peer_address, error)

    def _on_inbound_message(self, link: PeerLink, message: PeerMessage) -> None:
        if mismatch := _sender_mismatch(link, message):
            logger.warning("peer link from {} rejected: {}", link.peer_address, mismatch)
            link.abort()
        elif isinstance(message, PeerHello):
            link.complete_handshake()
            self._hello_by_link[link] = message
            self.distribution_addresses[message.node] = message.distribution_address
            self._redial_now(link.peer_address)
        elif link not in self._hello_by_link:
            logger.warning("peer link from {} rejected: message before hello", link.peer_address)
            link.abort()
        else:
            self._on_message(link, message)


async def _wait_before_redial(outbound: _OutboundLink) -> None:
    """Wait for the backoff to end or for the peer to connect here."""
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(outbound.peer_seen.wait(), outbound.next_backoff())


def _sender_mismatch(link: PeerLink, message: PeerMessage) -> str:
    """Return why the peer's certificate doesn't match the sender's name; empty if it does."""
    if isinstance(message, PeerHello):
        sender = message.node
    elif isinstance(message, RaftMessage):
        sender = message.envelope.sender.name
    elif isinstance(message, InForceReport):
        sender = message.control_node
    else:
        return ""
    return identity_mismatch(link.transport, [identity_uri(CertificateRole.CONTROL, sender)])


def _set_user_timeout(link: PeerLink) -> None:
    if link.transport is None:
        return
    peer = link.transport.get_extra_info("socket")
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS)
