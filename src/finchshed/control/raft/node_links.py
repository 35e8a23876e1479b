"""Connections between control nodes: each node dials every other and sends on its own link.

Owns the connections. Answers to forwarded requests return on the link they came by. Everything
else may be lost: the replicated log sends again, reports are repeated. So a peer that doesn't read
is never waited for; what its buffer can't take is dropped.
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
from finchshed.tls.handshakes import Connector, Server, listening, serve
from finchshed.tls.names import CertificateRole, name_of, unproven

PeerLink: TypeAlias = LineProtocol[PeerMessage]
OnMessage: TypeAlias = Callable[[PeerLink, PeerMessage], None]

MAX_LINE_BYTES = 96 << 20
"""Longest line taken from another control node, bytes: a snapshot of the state is in one."""

MAX_UNSENT_BYTES = 32 << 20
"""A peer with more than this unsent gets nothing more until it reads. Chosen, not measured."""

CONNECT_SECONDS = 1.0
"""Longest wait for a connection to be made. Chosen, not measured."""

DIAL_BACKOFF = Backoff(first_seconds=0.05, longest_seconds=1.0)
"""Pauses after dials that failed in a row, seconds, without jitter: a group has a handful of nodes,
and one that comes up ends the pauses of the others by dialling them. Chosen, not measured."""

WAITING_MESSAGES = 64
"""Messages kept while a connection is being made; the newest are kept. Chosen, not
measured."""

UNACKNOWLEDGED_MILLISECONDS = 3_000
"""A connection whose data the other side doesn't acknowledge for this long is closed, so that a
healed cut is used at once instead of after the kernel's backed-off retransmission. Chosen, not
measured."""

DROPPED = Counter(
    "finchshed_control_peer_dropped", "Messages to control nodes dropped: buffer full or no link"
)


class _Outbound:
    """The link to one address, made when needed and again after it ended."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.link: PeerLink | None = None
        self.waiting: list[PeerMessage] = []
        self.is_connecting = False
        self.failures = 0
        self.opened_at = 0.0
        self.wake = asyncio.Event()

    def next_pause(self) -> float:
        """Return the seconds to wait after one more failure."""
        pause = DIAL_BACKOFF.bound(self.failures)
        self.failures += 1
        return pause


class ControlNodeLinks:
    """All connections of one control node to others.

    Parameters
    ----------
    hello
        First line of each connection made here.
    on_message
        Called with each message and the link it came by.
    networks
        Networks that other control nodes connect from; None for any.
    credentials
        Keys for TLS; None: plain text.
    """

    def __init__(
        self,
        hello: PeerHello,
        on_message: OnMessage,
        background: BackgroundTasks,
        networks: PeerNetworks | None = None,
        *,
        credentials: Credentials | None = None,
    ) -> None:
        self._credentials = credentials
        self._open_connection = Connector(credentials, CertificateRole.CONTROL)
        self._hello = hello
        self._on_message = on_message
        self._background = background
        self._networks = networks
        self._outbound: dict[str, _Outbound] = {}
        self._greeted: dict[PeerLink, PeerHello] = {}
        self._inbound: set[PeerLink] = set()
        self._server: Server | None = None
        self._is_closed = False
        self.distribution_addresses: dict[str, str] = {}

    async def start(self, address: str) -> None:
        """Listen at ``address``."""
        host, port = split_address(address)
        self._server = await serve(self._make_inbound, self._credentials, listening(host, port))

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
        """Send to the node at ``address``; return False when it is dropped."""
        if self._is_closed:
            return False
        outbound = self._outbound.get(address)
        if outbound is None:
            outbound = self._outbound[address] = _Outbound(address)
        if outbound.link is not None and outbound.link.is_open:
            return self._send_on(outbound.link, message)
        outbound.waiting.append(message)
        del outbound.waiting[:-WAITING_MESSAGES]
        if not outbound.is_connecting:
            outbound.is_connecting = True
            self._background.spawn(self._connect(outbound))
        return True

    def name_of(self, link: PeerLink) -> str:
        """Return the name of the node that dialled ``link``, or empty."""
        hello = self._greeted.get(link)
        return "" if hello is None else hello.node

    @staticmethod
    def _send_on(link: PeerLink, message: PeerMessage) -> bool:
        if link.unsent_bytes() > MAX_UNSENT_BYTES or link.send(message) == 0:
            DROPPED.inc()
            return False
        return True

    async def _pause_if_refused(self, outbound: _Outbound) -> None:
        """Wait before a connection to a peer that closed the last one at once.

        In TLS 1.3 a peer refuses a certificate after the connection is open at this end.
        """
        link, outbound.link = outbound.link, None
        if self._credentials is None or link is None:
            return
        lived = asyncio.get_running_loop().time() - outbound.opened_at
        if lived >= DIAL_BACKOFF.longest_seconds:
            outbound.failures = 0
            return
        await asyncio.sleep(outbound.next_pause())

    async def _connect(self, outbound: _Outbound) -> None:
        await self._pause_if_refused(outbound)
        link = await self._dial(outbound)
        if link is None and outbound.wake.is_set():
            # It came up meanwhile; what was dialled before waits for the kernel to try again.
            link = await self._dial(outbound)
        if link is None:
            DROPPED.inc(len(outbound.waiting))
            outbound.waiting.clear()
            await _pause(outbound)
            outbound.is_connecting = False
            return
        if self._credentials is None:
            outbound.failures = 0
        outbound.opened_at = asyncio.get_running_loop().time()
        outbound.is_connecting = False
        outbound.link = link
        _set_user_timeout(link)
        link.send(self._hello)
        waiting, outbound.waiting = outbound.waiting, []
        for message in waiting:
            self._send_on(link, message)

    async def _dial(self, outbound: _Outbound) -> PeerLink | None:
        """Open a connection; None if it can't be, or if the node shows itself meanwhile.

        A machine without power answers nothing, and the kernel sends the opening packet again only
        after a second: a machine that comes up in between shows itself earlier, by dialling here.
        """
        outbound.wake.clear()
        link = self._make_outbound()
        host, port = split_address(outbound.address)
        opening = asyncio.ensure_future(self._open_connection(lambda: link, host, port))
        woken = asyncio.ensure_future(outbound.wake.wait())
        first = asyncio.FIRST_COMPLETED
        try:
            await asyncio.wait((opening, woken), timeout=CONNECT_SECONDS, return_when=first)
            if not opening.done():
                return None
            opening.result()
        except OSError:
            return None
        finally:
            woken.cancel()
            opening.cancel()
        return link

    def _wake_links_to(self, peer_address: str) -> None:
        """Connect at once to a node that has just shown that it is there."""
        host = split_address(peer_address)[0]
        for outbound in self._outbound.values():
            if split_address(outbound.address)[0] == host:
                outbound.failures = 0
                outbound.wake.set()

    def _make_outbound(self) -> PeerLink:
        return LineProtocol(PeerMessage, self._on_message, max_line_bytes=MAX_LINE_BYTES)

    def _make_inbound(self) -> PeerLink:
        return LineProtocol(
            PeerMessage,
            self._on_inbound_message,
            on_open=self._on_inbound_open,
            on_close=self._on_inbound_close,
            max_line_bytes=MAX_LINE_BYTES,
            expects_greeting=True,
            networks=self._networks,
        )

    def _on_inbound_open(self, link: PeerLink) -> None:
        self._inbound.add(link)
        _set_user_timeout(link)

    def _on_inbound_close(self, link: PeerLink, error: Exception | None) -> None:
        self._inbound.discard(link)
        self._greeted.pop(link, None)
        if error is not None:
            logger.info("link of {} ended: {}", link.peer_address, error)

    def _on_inbound_message(self, link: PeerLink, message: PeerMessage) -> None:
        if fault := _unproven_sender(link, message):
            logger.warning("link of {} closed: {}", link.peer_address, fault)
            link.abort()
        elif isinstance(message, PeerHello):
            link.greeted()
            self._greeted[link] = message
            self.distribution_addresses[message.node] = message.distribution_address
            self._wake_links_to(link.peer_address)
        elif link not in self._greeted:
            logger.warning("{} sent a message before its hello", link.peer_address)
            link.abort()
        else:
            self._on_message(link, message)


async def _pause(outbound: _Outbound) -> None:
    """Wait before the next try, unless the other side has connected meanwhile."""
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(outbound.wake.wait(), outbound.next_pause())


def _unproven_sender(link: PeerLink, message: PeerMessage) -> str:
    """Return the name a message claims that isn't in the peer's certificate, as text."""
    if isinstance(message, PeerHello):
        sender = message.node
    elif isinstance(message, RaftMessage):
        sender = message.envelope.sender.name
    elif isinstance(message, InForceReport):
        sender = message.control_node
    else:
        return ""
    return unproven(link.transport, [name_of(CertificateRole.CONTROL, sender)])


def _set_user_timeout(link: PeerLink) -> None:
    if link.transport is None:
        return
    peer = link.transport.get_extra_info("socket")
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS)
