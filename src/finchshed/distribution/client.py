"""A daemon's connection to control: one at a time, to whichever control node serves.

Owns the connection in use, its subscription and its heartbeats: a control node that is cut off in
silence is noticed by the lines that are missing, and left for another. Control nodes use it too,
for the ledger of another group.

Relies on :class:`~finchshed.distribution.addresses.AddressBook` for the node to try next, on
:mod:`finchshed.distribution.control_dialer` for opening connections, and on
:class:`~finchshed.distribution.ledger_requests.LedgerRequests`, which sends a request again on the
next connection until it is answered or its time is up.
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
"""A control node that sent nothing for this long is left; it sends each half second.

The 4 s until a change is in force have to hold this, the check after it, and two nodes in a row
that can't be reached either.
"""

HEARTBEAT_INTERVAL_SECONDS = 1.0
"""Longest time between two reports of the revision in force. Chosen, not measured."""

CHECK_INTERVAL_SECONDS = 0.25
"""Time between looks for silence and for a report that is due. Chosen, not measured."""

MAX_LINE_BYTES = 96 << 20
"""Longest line taken from control, bytes: a whole configuration or a completed call's answer."""


class ControlClient:
    """Keeps a connection to one control node.

    Parameters
    ----------
    identity
        Who subscribes.
    addresses
        Control nodes of the settings; at least one.
    handlers
        Callbacks, all called on the event loop.
    rng
        Source of order and jitter.
    connect
        Opens connections; None: the event loop does. Proof passes one that can be cut.

    Attributes
    ----------
    ledger
        The daemon's requests to the at-most-once ledger.
    on_hints
        Called with the platform's list as control read it; set by the daemon.
    on_explain
        Called when an operator asks for recent decisions; set by the daemon.
    on_lease
        Called with answers to the daemon's questions for its lease; set by the daemon.
    on_quota
        Called with answers about quotas; set by the daemon.
    on_directory
        Called with registrations of back ends; set by the daemon.
    on_crash_news
        Called with news of requests that crash back ends; set by the daemon.
    registration
        Returns the registration of the back end beside the daemon; None: it tells of none.
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
        self._heard_at = 0.0
        self._heartbeat_due = 0.0
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
        """Whether a control node has answered the subscription and still serves."""
        return self._is_subscribed

    @property
    def peer_address(self) -> str:
        """Address of the control node in use, or empty."""
        return "" if self._connection is None else self._connection.peer_address

    async def run(self) -> None:
        """Stay connected until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            attempt = self._book.next_attempt(loop.time())
            if attempt.wait_seconds > 0.0:
                await asyncio.sleep(attempt.wait_seconds)
                continue
            lived = await self._connect_and_serve(attempt.address, attempt.connect_seconds)
            self._book.on_connection_ended(attempt.address, lived, loop.time())

    def report_in_force(self, revision: int) -> None:
        """Tell the control node which revision is in force here."""
        self._send_subscribed(InForce(revision))
        if self._is_subscribed:
            self._heartbeat_due = asyncio.get_running_loop().time() + HEARTBEAT_INTERVAL_SECONDS

    def announce(self) -> None:
        """Tell the control node of the back end beside this daemon."""
        if self._connection is not None and self.registration is not None:
            self._connection.send(Announce(self.registration()))

    def renew_lease(self, question: int) -> None:
        """Send a question for the daemon's lease."""
        self._send_subscribed(RenewLease(question))

    def send_quota(self, request: QuotaRequest) -> bool:
        """Send a report or an ask to the leader; return whether there was a way to send it."""
        return self._send_subscribed(request)

    def send_crash_news(self, news: CrashNews) -> None:
        """Tell the control node of requests that back ends ended under."""
        self._send_subscribed(news)

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Take in further control nodes."""
        self._book.add(addresses)

    def fetch(self, revision: int) -> None:
        """Ask the control node for what follows ``revision``."""
        if self._connection is not None:
            self._connection.send(Fetch(revision))

    async def _connect_and_serve(self, address: ControlAddress, connect_seconds: float) -> float:
        """Return for how many seconds the connection served."""
        loop = asyncio.get_running_loop()
        self._ended.clear()
        connection: Connection = LineProtocol(
            ControlToDaemon, self._on_message, None, self._on_close, MAX_LINE_BYTES
        )
        if not await self._dialer.open(address, connection, connect_seconds):
            return 0.0
        opened_at = self._heard_at = loop.time()
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
        """Return once the connection has ended, is silent, or a nearer node can be reached."""
        nearer = self._book.own_zone_node(address)
        probing = None if nearer is None else asyncio.create_task(self._move_to(nearer))
        self._check = asyncio.get_running_loop().call_later(CHECK_INTERVAL_SECONDS, self._on_check)
        try:
            await self._ended.wait()
        finally:
            if self._check is not None:
                self._check.cancel()
            if probing is not None:
                probing.cancel()

    def _on_check(self) -> None:
        """Look for silence, and send a heartbeat when one is due."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        connection = self._connection
        if (
            connection is None
            or not connection.is_open
            or now - self._heard_at > CONTROL_TIMEOUT_SECONDS
        ):
            self._ended.set()
            return
        if self._is_subscribed and now >= self._heartbeat_due:
            self.report_in_force(self._handlers.revision_in_force())
            self.announce()
        self._check = loop.call_later(CHECK_INTERVAL_SECONDS, self._on_check)

    async def _move_to(self, nearer: ControlAddress) -> None:
        """End the connection once a nearer control node can be reached."""
        await self._dialer.wait_until_reachable(nearer, self._rng)
        self._book.on_reachable(nearer)
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
        self._heard_at = asyncio.get_running_loop().time()
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
            self._pass_on(message)
        else:
            self.ledger.on_answer(message)

    def _pass_on(self, message: Hints | DirectoryUpdate | LeaseRenewed | CrashNews) -> None:
        """Hand a message to the part of the daemon that waits for it, if there is one."""
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
        """Send what only a node that took the subscription reads; return whether it was sent."""
        connection = self._connection if self._is_subscribed else None
        return connection is not None and connection.send(message) > 0

    def _send_ledger_request(self, request: LedgerRequest) -> bool:
        return self._connection is not None and self._connection.send(request) > 0

    def _on_close(self, connection: Connection, error: Exception | None) -> None:
        if connection is self._connection:
            self._ended.set()
