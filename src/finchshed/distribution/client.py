"""Client connection from a daemon to one control node at a time.

Owns the current connection, its subscription and its heartbeats. If the control node sends nothing
for a while, the client moves to another one. Control nodes also use the client to reach the ledger
of another control group.

Relies on :class:`~finchshed.distribution.addresses.AddressBook` to select nodes, on
:mod:`finchshed.distribution.control_dialer` to open connections, and on
:class:`~finchshed.distribution.ledger_requests.LedgerRequests` to resend requests on the next
connection until they are answered or time out.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from finchshed.directory.registration import Registration
from finchshed.distribution.addresses import AddressBook, ControlAddress
from finchshed.distribution.client_handlers import ClientHandlers
from finchshed.distribution.control_dialer import Connect, Connection, ControlDialer
from finchshed.distribution.identity import ClientIdentity
from finchshed.distribution.ledger_requests import LedgerRequests
from finchshed.distribution.messages import (
    Announce,
    ControlNodes,
    ControlToDaemon,
    Decision,
    Delta,
    DirectoryUpdate,
    ExplainReply,
    ExplainRequest,
    Fetch,
    Hints,
    InForce,
    LeaseRenewed,
    LedgerRequest,
    Redirect,
    RenewLease,
    Subscribe,
)
from finchshed.link.lines import LineProtocol
from finchshed.quarantine.messages import CrashNews
from finchshed.quota.messages import QuotaAnswer, QuotaRequest, QuotaShares, QuotaTokens

CONTROL_TIMEOUT_SECONDS = 1.5
"""Time without a message from the control node after which the connection is abandoned.

Control nodes send a heartbeat each half second. The 4 s within which a change must be in force have
to cover this timeout, the check interval and two further nodes that can't be reached.
"""

HEARTBEAT_INTERVAL_SECONDS = 1.0
"""Maximum time between reports of the revision in force."""

CHECK_INTERVAL_SECONDS = 0.25
"""Time between checks for a silent control node and for a due heartbeat."""

MAX_LINE_BYTES = 96 << 20
"""Maximum line length accepted from control: fits a full configuration or a stored response."""


class ControlClient:
    """Maintains a connection to one control node.

    The callbacks among the attributes are optional and set by the daemon.

    Parameters
    ----------
    identity
        Identity sent with the subscription.
    addresses
        Control nodes from the settings; at least one.
    handlers
        Callbacks, all called on the event loop.
    rng
        Randomness for the order of nodes and for jitter.
    connect
        Opens connections; None to use the event loop. Tests pass one that can be interrupted.

    Attributes
    ----------
    ledger
        Requests to the at-most-once ledger.
    on_hints
        Called with the platform's list of leaving machines.
    on_explain
        Called when an operator asks for recent decisions.
    on_lease
        Called with answers to lease renewals.
    on_quota
        Called with answers to quota reports and token requests.
    on_directory
        Called with registrations of back ends.
    on_crash_news
        Called with reports of requests that crash back ends.
    registration
        Returns the registration of the daemon's back end; None to announce none.
    """

    def __init__(
        self,
        identity: ClientIdentity,
        addresses: Iterable[ControlAddress],
        handlers: ClientHandlers,
        rng: random.Random,
        connect: Connect | None = None,
    ) -> None:
        self._identity = identity
        self._dialer = ControlDialer(connect)
        self._handlers = handlers
        self._rng = rng
        self._book = AddressBook(addresses, identity.zone, rng)
        self._connection: Connection | None = None
        self._ended: asyncio.Event = asyncio.Event()
        self._check: asyncio.TimerHandle | None = None
        self._is_subscribed = False
        self._last_message_at = 0.0
        self._heartbeat_due = 0.0
        self._announcement_due = 0.0
        self.ledger = LedgerRequests(identity.node, self._send_ledger_request)
        self.connections_made = 0
        self.on_hints: Callable[[Hints], None] | None = None
        self.on_explain: Callable[[ExplainRequest], tuple[Decision, ...]] | None = None
        self.on_lease: Callable[[LeaseRenewed], None] | None = None
        self.on_quota: Callable[[QuotaAnswer], None] | None = None
        self.on_directory: Callable[[DirectoryUpdate], None] | None = None
        self.on_crash_news: Callable[[CrashNews], None] | None = None
        self.registration: Callable[[], Registration] | None = None

    @property
    def is_connected(self) -> bool:
        """Whether a control node has answered the subscription on the current connection."""
        return self._is_subscribed

    @property
    def peer_address(self) -> str:
        """Address of the connected control node, or empty."""
        return "" if self._connection is None else self._connection.peer_address

    async def run(self) -> None:
        """Connect, and reconnect after each failure, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            attempt = self._book.next_attempt(loop.time())
            if attempt.wait_seconds > 0.0:
                await asyncio.sleep(attempt.wait_seconds)
                continue
            lived = await self._connect_and_serve(attempt.address, attempt.connect_seconds)
            self._book.on_connection_ended(attempt.address, lived, loop.time())

    def report_in_force(self, revision: int) -> None:
        """Report the revision in force to the control node."""
        self._send_subscribed(InForce(revision))
        if self._is_subscribed:
            self._heartbeat_due = asyncio.get_running_loop().time() + HEARTBEAT_INTERVAL_SECONDS

    def announce(self) -> None:
        """Send the registration of the daemon's back end to the control node."""
        if self._connection is not None and self.registration is not None:
            self._connection.send(Announce(self.registration()))

    def renew_lease(self, question: int) -> None:
        """Send a lease renewal identified by ``question``."""
        self._send_subscribed(RenewLease(question))

    def send_quota(self, request: QuotaRequest) -> bool:
        """Send a quota report or token request and return whether it was sent."""
        return self._send_subscribed(request)

    def send_crash_news(self, news: CrashNews) -> None:
        """Report requests under which back ends crashed."""
        self._send_subscribed(news)

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Add control nodes learned after the start."""
        self._book.add(addresses)

    def fetch(self, revision: int) -> None:
        """Request the changes after ``revision``."""
        if self._connection is not None:
            self._connection.send(Fetch(revision))

    async def _connect_and_serve(self, address: ControlAddress, connect_seconds: float) -> float:
        """Open one connection, use it until it ends, and return its lifetime in seconds."""
        loop = asyncio.get_running_loop()
        self._ended.clear()
        connection: Connection = LineProtocol(
            ControlToDaemon, self._on_message, None, self._on_close, MAX_LINE_BYTES
        )
        if not await self._dialer.open(address, connection, connect_seconds):
            return 0.0
        opened_at = self._last_message_at = loop.time()
        self._connection = connection
        self.connections_made += 1
        self._subscribe(connection)
        try:
            await self._wait_until_ended(address)
        finally:
            self._leave(connection)
        return loop.time() - opened_at

    def _subscribe(self, connection: Connection) -> None:
        identity = self._identity
        connection.send(
            Subscribe(
                node=identity.node,
                incarnation=identity.incarnation,
                service=identity.service,
                zone=identity.zone,
                revision=self._handlers.revision_held(),
                endpoint=identity.endpoint,
            )
        )
        self.announce()
        self.ledger.resend_pending()

    async def _wait_until_ended(self, address: ControlAddress) -> None:
        """Return once the connection has ended or timed out, or a node in the own zone is up."""
        local = self._book.own_zone_node(address)
        probing = (
            None if local is None else asyncio.create_task(self._disconnect_when_reachable(local))
        )
        self._check = asyncio.get_running_loop().call_later(CHECK_INTERVAL_SECONDS, self._on_check)
        try:
            await self._ended.wait()
        finally:
            if self._check is not None:
                self._check.cancel()
            if probing is not None:
                probing.cancel()

    def _on_check(self) -> None:
        """End a silent connection, and send a heartbeat when one is due."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        connection = self._connection
        if (
            connection is None
            or not connection.is_open
            or now - self._last_message_at > CONTROL_TIMEOUT_SECONDS
        ):
            self._ended.set()
            return
        if self._is_subscribed and now >= self._heartbeat_due:
            self.report_in_force(self._handlers.revision_in_force())
        if self._is_subscribed and now >= self._announcement_due:
            # Due by itself: a report at each change would put it off while changes go on.
            self._announcement_due = now + HEARTBEAT_INTERVAL_SECONDS
            self.announce()
        self._check = loop.call_later(CHECK_INTERVAL_SECONDS, self._on_check)

    async def _disconnect_when_reachable(self, local: ControlAddress) -> None:
        """End the connection once the control node ``local`` can be reached."""
        await self._dialer.wait_until_reachable(local, self._rng)
        self._book.on_reachable(local)
        self._ended.set()

    def _leave(self, connection: Connection) -> None:
        self._connection = None
        connection.abort()
        if self._is_subscribed:
            self._is_subscribed = False
            self._handlers.on_disconnected()

    def _on_message(self, connection: Connection, message: ControlToDaemon) -> None:
        if connection is not self._connection:
            return
        self._last_message_at = asyncio.get_running_loop().time()
        if isinstance(message, Delta):
            if not self._is_subscribed:
                self._is_subscribed = True
                self._handlers.on_connected()
            self._handlers.on_delta(message)
        elif isinstance(message, Redirect):
            self._book.add(message.addresses)
            self._ended.set()
        elif isinstance(message, ControlNodes):
            self._book.add(message.addresses)
        elif isinstance(message, ExplainRequest):
            decisions = self.on_explain(message) if self.on_explain is not None else ()
            connection.send(ExplainReply(message.request, decisions))
        elif isinstance(message, QuotaShares | QuotaTokens):
            if self.on_quota is not None:
                self.on_quota(message)
        elif isinstance(message, Hints | DirectoryUpdate | LeaseRenewed | CrashNews):
            self._dispatch(message)
        else:
            self.ledger.on_answer(message)

    def _dispatch(self, message: Hints | DirectoryUpdate | LeaseRenewed | CrashNews) -> None:
        """Pass a message to its callback, if one is set."""
        match message:
            case Hints() if self.on_hints is not None:
                self.on_hints(message)
            case DirectoryUpdate() if self.on_directory is not None:
                self.on_directory(message)
            case LeaseRenewed() if self.on_lease is not None:
                self.on_lease(message)
            case CrashNews() if self.on_crash_news is not None:
                self.on_crash_news(message)

    def _send_subscribed(self, message: InForce | RenewLease | QuotaRequest | CrashNews) -> bool:
        """Send a message that requires an answered subscription; return whether it was sent."""
        connection = self._connection if self._is_subscribed else None
        return connection is not None and connection.send(message) > 0

    def _send_ledger_request(self, request: LedgerRequest) -> bool:
        return self._connection is not None and self._connection.send(request) > 0

    def _on_close(self, connection: Connection, error: Exception | None) -> None:
        if connection is self._connection:
            self._ended.set()
