"""Accepts daemons' connections to a control node and executes the hub's effects.

Owns the connections. Ledger requests, registrations and reports received on them are passed to the
control program. :class:`~finchshed.distribution.hub.Hub` decides what is sent to which daemon.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeAlias

from loguru import logger

from finchshed.common.errors import FinchshedError
from finchshed.distribution.hub import Hub
from finchshed.distribution.hub_effects import Close, HubEffect, RequestConfirmation, SendLine
from finchshed.distribution.messages import (
    Announce,
    ControlToDaemon,
    DaemonToControl,
    Delta,
    ExplainReply,
    Fetch,
    InForce,
    LedgerRequest,
    RenewLease,
    Subscribe,
)
from finchshed.distribution.quorum_reads import QuorumReads
from finchshed.distribution.snapshot import Configuration
from finchshed.link.encoding import encode_line
from finchshed.link.lines import LineProtocol
from finchshed.link.networks import PeerNetworks
from finchshed.quarantine.messages import CrashNews
from finchshed.quota.messages import QuotaAsk, QuotaReport, QuotaRequest
from finchshed.tls.credentials import Credentials
from finchshed.tls.handshakes import Server, listening_socket, start_server
from finchshed.tls.names import (
    CertificateRole,
    has_role,
    identity_mismatch,
    identity_uri,
    peer_identities,
)

Answer: TypeAlias = Callable[[ControlToDaemon], None]
Connection: TypeAlias = LineProtocol[DaemonToControl]

BACKLOG = 2048
"""Listen backlog, sized for all daemons of a failed control node reconnecting at once."""

TICK_SECONDS = 0.25
"""Interval between checks of full buffers, half of the hub's heartbeat interval."""

MAX_BUFFER_BYTES = 4 << 20
"""Unsent bytes above which a subscriber is skipped until half of them have been sent; fewer if
there are many subscribers."""

MIN_BUFFER_BYTES = 64 << 10
"""Unsent bytes that a subscriber may always have."""

MAX_REQUEST_BYTES = 96 << 20
"""Maximum line length accepted from a daemon: fits the complete answer of a call."""


class HubServer:
    """Serves daemons on one address.

    Parameters
    ----------
    hub
        Decides what is sent. Once the server is started, nothing else may call it.
    confirm
        Reads the latest revision from a quorum and returns True once it is applied to the hub.
        Returns False or raises :class:`FinchshedError` if no quorum answered.
    on_ledger
        Called with each ledger request and the function that sends its answer.
    on_explanation
        Called with each daemon's answer to an :class:`ExplainRequest`.
    on_announce
        Called with each registration sent by a daemon.
    on_quota
        Called with a daemon's name and its quota report or token request.
    on_crash_news
        Called with each report of requests that crash back ends.
    on_subscribed
        Returns the messages to send to a daemon after its subscription.
    networks
        Networks that daemons may connect from; None for any.
    credentials
        TLS credentials; None for plain text.
    """

    def __init__(
        self,
        hub: Hub,
        confirm: Callable[[], Awaitable[bool]],
        on_ledger: Callable[[LedgerRequest, Answer], None],
        on_explanation: Callable[[ExplainReply], None] | None = None,
        networks: PeerNetworks | None = None,
        *,
        credentials: Credentials | None = None,
        on_announce: Callable[[Announce], None] | None = None,
        on_quota: Callable[[str, QuotaRequest], None] | None = None,
        on_crash_news: Callable[[CrashNews], None] | None = None,
        on_subscribed: Callable[[], Sequence[ControlToDaemon]] | None = None,
    ) -> None:
        self._credentials = credentials
        self._on_announce = on_announce
        self._on_quota = on_quota
        self._on_crash_news = on_crash_news
        self._on_subscribed = on_subscribed
        self._hub = hub
        self._quorum_reads = QuorumReads(confirm, self._on_confirmed)
        self._on_ledger = on_ledger
        self._on_explanation = on_explanation
        self._networks = networks
        self._connections: dict[int, Connection] = {}
        self._by_node: dict[str, Connection] = {}
        self._numbers: dict[Connection, int] = {}
        self._names: dict[int, str] = {}
        self._last_number = 0
        self._ticking: asyncio.Task[None] | None = None
        self._server: Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port, chosen by the system if ``port`` is 0."""
        listener = listening_socket(host, port, BACKLOG)
        self._server = await start_server(self._make_protocol, self._credentials, listener)
        self._ticking = asyncio.create_task(self._tick_forever())
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._ticking is not None:
            self._ticking.cancel()
        self._quorum_reads.close()
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections.values()):
            connection.abort()

    def commit(self, delta: Delta) -> None:
        """Send a committed change to all subscribers."""
        self._perform(self._hub.on_committed(delta, self._now()))

    def restore(self, configuration: Configuration) -> None:
        """Replace the configuration by that of a snapshot."""
        self._perform(self._hub.restore(configuration, self._now()))

    def set_quorum_contact(self, in_contact: bool) -> None:
        """Record whether this node is in contact with a quorum; call at least twice a second."""
        self._hub.on_quorum_contact(in_contact, self._now())

    def send_to(self, node: str, message: ControlToDaemon) -> bool:
        """Send a message to one daemon; return False if it isn't connected here."""
        connection = self._by_node.get(node)
        return connection is not None and connection.send(message) > 0

    def broadcast(self, message: ControlToDaemon) -> None:
        """Send a message to every connected daemon whose buffer isn't full."""
        line = encode_line(message)
        for connection in self._connections.values():
            if connection.unsent_bytes() <= self._buffer_bytes():
                connection.send_encoded(line)

    def _make_protocol(self) -> Connection:
        return LineProtocol(
            DaemonToControl,
            self._on_message,
            on_close=self._on_close,
            max_line_bytes=MAX_REQUEST_BYTES,
            requires_handshake=True,
            networks=self._networks,
        )

    def _on_message(self, connection: Connection, message: DaemonToControl) -> None:
        if isinstance(message, Subscribe):
            self._subscribe(connection, message)
            return
        number = self._numbers.get(connection)
        if number is None:
            logger.warning("{} sent a message before subscribing", connection.peer_address)
            connection.abort()
        elif isinstance(message, InForce):
            self._hub.on_in_force(number, message.revision, self._now())
        elif isinstance(message, Fetch):
            self._perform(self._hub.on_fetch(number, message.revision, self._now()))
        elif isinstance(message, RenewLease):
            self._perform(self._hub.on_lease_request(number, message.question, self._now()))
        elif isinstance(message, QuotaReport | QuotaAsk | Announce | CrashNews | ExplainReply):
            self._dispatch(self._names[number], message)
        else:
            self._on_ledger(message, lambda answer: _send(connection, answer))

    def _dispatch(
        self,
        daemon: str,
        message: QuotaReport | QuotaAsk | Announce | CrashNews | ExplainReply,
    ) -> None:
        """Pass a message to its callback, if one is set."""
        match message:
            case QuotaReport() | QuotaAsk() if self._on_quota is not None:
                self._on_quota(daemon, message)
            case Announce() if self._on_announce is not None:
                self._on_announce(message)
            case CrashNews() if self._on_crash_news is not None:
                self._on_crash_news(message)
            case ExplainReply() if self._on_explanation is not None:
                self._on_explanation(message)

    def _subscribe(self, connection: Connection, message: Subscribe) -> None:
        if connection in self._numbers:
            connection.abort()
            return
        if unproven_claims := _unproven_subscriber(connection, message):
            logger.warning(
                "link of daemon {} refused: {}", connection.peer_address, unproven_claims
            )
            connection.abort()
            return
        connection.complete_handshake()
        self._last_number += 1
        self._numbers[connection] = self._last_number
        self._connections[self._last_number] = connection
        self._by_node[message.node] = connection
        self._names[self._last_number] = message.node
        self._perform(self._hub.subscribe(self._last_number, message, self._now()))
        if self._on_subscribed is not None:
            for further in self._on_subscribed():
                connection.send(further)

    def _on_close(self, connection: Connection, error: Exception | None) -> None:
        for node, last in list(self._by_node.items()):
            if last is connection:
                del self._by_node[node]
        if isinstance(error, FinchshedError):
            logger.warning("link of daemon {} refused: {}", connection.peer_address, error)
        number = self._numbers.pop(connection, None)
        if number is not None:
            del self._connections[number]
            del self._names[number]
            self._hub.unsubscribe(number)

    def _perform(self, effects: Sequence[HubEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendLine):
                self._send(effect)
            elif isinstance(effect, RequestConfirmation):
                self._quorum_reads.request(effect.ticket)
            elif isinstance(effect, Close):
                connection = self._connections.get(effect.subscriber)
                if connection is not None:
                    connection.abort()

    def _send(self, effect: SendLine) -> None:
        line = effect.line.line
        for number in effect.subscribers:
            connection = self._connections.get(number)
            if connection is None:
                continue
            connection.send_encoded(line)
            if connection.unsent_bytes() > self._buffer_bytes():
                self._hub.on_buffer(number, True, self._now())

    def _buffer_bytes(self) -> int:
        """Return the unsent bytes above which a subscriber is skipped."""
        share = self._hub.limits.unsent_bytes // max(1, len(self._connections))
        return max(MIN_BUFFER_BYTES, min(MAX_BUFFER_BYTES, share))

    def _on_confirmed(self, ticket: int) -> None:
        self._perform(self._hub.on_confirmed(ticket, self._now()))

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for number in self._hub.full_subscribers():
                connection = self._connections.get(number)
                if connection is None or connection.unsent_bytes() <= self._buffer_bytes() // 2:
                    self._perform(self._hub.on_buffer(number, False, self._now()))
            self._perform(self._hub.tick(self._now()))

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _unproven_subscriber(connection: Connection, message: Subscribe) -> str:
    """Return a description of claims that the subscriber's certificate doesn't prove, or empty.

    Control nodes also subscribe, to reach the ledger of another control group.
    """
    names = peer_identities(connection.transport) or frozenset()
    role = (
        CertificateRole.CONTROL
        if has_role(names, CertificateRole.CONTROL)
        else CertificateRole.DAEMON
    )
    claimed = {
        role: message.node,
        CertificateRole.ZONE: message.zone,
        CertificateRole.ENDPOINT: message.endpoint,
    }
    claims = [identity_uri(kind, name) for kind, name in claimed.items() if name or kind is role]
    return identity_mismatch(connection.transport, claims)


def _send(connection: Connection, answer: ControlToDaemon) -> None:
    connection.send(answer)
