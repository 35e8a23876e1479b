"""An emulated daemon's connection to control: one at a time, to whichever control node serves.

Counterpart of :mod:`finchshed.distribution.client`; which node is tried when is decided by the
production :class:`~finchshed.distribution.addresses.AddressBook`.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final, Protocol

from finchshed.common.outcomes import Answered
from finchshed.control.state.commands import CommandResult, CompleteRequest
from finchshed.distribution.addresses import AddressBook, ControlAddress
from finchshed.distribution.identity import ClientIdentity
from finchshed.distribution.messages import ControlToDaemon, Delta, Hints, Redirect, Subscribe
from finchshed.emulator.control.node import SimulatedControlNode
from finchshed.emulator.daemons.ledger_client import OnLedgerResult
from finchshed.emulator.daemons.process import Process

CONNECT_SECONDS: Final = 1.0
"""Longest wait for a connection, seconds; chosen, not measured."""
SILENCE_SECONDS: Final = 2.0
"""Seconds without a sign after which a control node is left; chosen, production has 1.5."""
HEARTBEAT_SECONDS: Final = 1.0
"""Seconds between heartbeats; as in production."""
CHECK_SECONDS: Final = 0.5
"""Seconds between looks for silence; chosen, production has 0.25."""
ABANDON_SECONDS: Final = 30.0
"""How long the cancel of an attempt whose grant did not come in time is tried."""


class ClientOwner(Protocol):
    """What the client tells and asks its daemon."""

    def control_delta(self, delta: Delta) -> None:
        """Take configuration."""

    def control_connected(self) -> None:
        """Note that a control node took the subscription."""

    def control_lost(self) -> None:
        """Note that no control node is in reach."""

    def hints(self, hints: Hints) -> None:
        """Take the platform's list."""

    def revision_held(self) -> int:
        """Return the revision that the next subscription starts from."""
        ...

    def revision_in_force(self) -> int:
        """Return the revision in force."""
        ...


@dataclass(slots=True, eq=False)
class _Pending:
    send: Callable[[SimulatedControlNode, int, int], None]
    done: Callable[[CommandResult | None], None]
    sent: bool = False


class SimulatedControlClient:
    """Keeps a connection to one control node, in one life of a daemon."""

    def __init__(
        self,
        process: Process,
        identity: ClientIdentity,
        nodes: Mapping[str, SimulatedControlNode],
        owner: ClientOwner,
        rng: random.Random,
    ) -> None:
        self.process = process
        self.life = process.life
        self._identity = identity
        self._nodes = nodes
        self._owner = owner
        addresses = [ControlAddress(address, node.site.zone) for address, node in nodes.items()]
        self._book = AddressBook(addresses, identity.zone, rng)
        self._epoch = 0
        self._address: ControlAddress | None = None
        self._node: SimulatedControlNode | None = None
        self._node_life = 0
        self._is_connected = False
        self._is_subscribed = False
        self._opened_at = 0.0
        self._heard_at = 0.0
        self._heartbeat_due = 0.0
        self._pending: dict[int, _Pending] = {}
        self._last_request = 0

    def start(self) -> None:
        """Stay connected from now on."""
        self._connect()

    def report_in_force(self, revision: int) -> None:
        """Tell the control node which revision is in force here."""
        if self._is_subscribed and self._node is not None:
            self._heartbeat_due = self.process.now + HEARTBEAT_SECONDS
            self._send(self._node.take_in_force, self, self._epoch, revision)

    def fetch(self, revision: int) -> None:
        """Ask the control node for what follows ``revision``."""
        if self._is_connected and self._node is not None:
            self._send(self._node.take_fetch, self, self._epoch, revision)

    def begin(self, key: str, attempt: str, timeout: float, done: OnLedgerResult) -> None:
        """Ask leave to run the request under ``key``."""

        def send(node: SimulatedControlNode, epoch: int, request: int) -> None:
            self._send(node.ledger_begin, self, epoch, request, key, attempt)

        pending = _Pending(send, done)  # type: ignore[arg-type]

        def timed_out() -> None:
            if pending.sent:
                self.cancel(key, attempt)
            done(None)

        self._request(pending, timeout, timed_out)

    def cancel(self, key: str, attempt: str) -> None:
        """Say that a granted attempt was never sent."""

        def send(node: SimulatedControlNode, epoch: int, request: int) -> None:
            self._send(node.ledger_cancel, self, epoch, request, key, attempt)

        self._request(_Pending(send, _ignore), ABANDON_SECONDS, _nothing)

    def complete(
        self, key: str, attempt: str, answer: Answered, timeout: float, done: Callable[[], None]
    ) -> None:
        """Record the whole answer; ``done`` is called when it is committed, or in time anyway."""

        def send(node: SimulatedControlNode, epoch: int, request: int) -> None:
            command = CompleteRequest(key, attempt, answer)
            self._send(node.ledger_complete, self, epoch, request, command)

        self._request(_Pending(send, lambda _: done()), timeout, done)

    # What the control node sends.

    def on_connected(self, epoch: int) -> None:
        """Take the word of the other machine's operating system that the connection is open."""
        if epoch != self._epoch or self._node is None or self._is_connected:
            return
        self._is_connected = True
        self._opened_at = self._heard_at = self.process.now
        identity = self._identity
        subscribe = Subscribe(
            node=identity.node,
            incarnation=identity.incarnation,
            service=identity.service,
            zone=identity.zone,
            revision=self._owner.revision_held(),
            endpoint=identity.endpoint,
        )
        self._send(self._node.take_subscribe, self, epoch, subscribe)
        for request, pending in list(self._pending.items()):
            self._send_pending(request, pending)
        self.process.call_later(CHECK_SECONDS, self._watch, epoch)

    def on_message(self, epoch: int, message: ControlToDaemon) -> None:
        """Take a message of the control node."""
        if epoch != self._epoch or not self._is_connected:
            return
        self._heard_at = self.process.now
        if isinstance(message, Delta):
            if not self._is_subscribed:
                self._is_subscribed = True
                self._owner.control_connected()
            self._owner.control_delta(message)
        elif isinstance(message, Redirect):
            self._book.add(message.addresses)
            self._leave()
        elif isinstance(message, Hints):
            self._owner.hints(message)

    def on_ledger_answer(self, epoch: int, request: int, result: CommandResult | None) -> None:
        """Take the ledger's answer; None and a refusal mean that nothing was granted."""
        if epoch != self._epoch:
            return
        self._heard_at = self.process.now
        pending = self._pending.pop(request, None)
        if pending is not None:
            pending.done(result)

    def on_reset(self, epoch: int) -> None:
        """Take the news that the connection is gone or was refused."""
        if epoch == self._epoch and self._address is not None:
            self._leave()

    def _connect(self) -> None:
        attempt = self._book.next_attempt(self.process.now)
        if attempt.wait_seconds > 0.0:
            self.process.call_later(attempt.wait_seconds + 1e-6, self._connect)
            return
        self._epoch += 1
        self._address = attempt.address
        self._node = self._nodes[attempt.address.address]
        node, epoch = self._node, self._epoch
        network = self.process.simulation.network
        network.send(self.process.site, node.site, lambda: self._reach(node, epoch))
        self.process.call_later(CONNECT_SECONDS, self._connect_timed_out, epoch)

    def _reach(self, node: SimulatedControlNode, epoch: int) -> None:
        """Arrive at the control machine, whose operating system answers."""
        self._node_life = node.life
        function = self.on_connected if node.up else self.on_reset
        daemon, life = self.process, self.life
        network = self.process.simulation.network
        network.send(node.site, daemon.site, lambda: daemon.dispatch(life, function, epoch))

    def _connect_timed_out(self, epoch: int) -> None:
        if epoch == self._epoch and not self._is_connected and self._address is not None:
            self._leave()

    def _watch(self, epoch: int) -> None:
        if epoch != self._epoch or not self._is_connected:
            return
        now = self.process.now
        if now - self._heard_at > SILENCE_SECONDS:
            self._leave()
            return
        if self._is_subscribed and now >= self._heartbeat_due:
            self.report_in_force(self._owner.revision_in_force())
        self.process.call_later(CHECK_SECONDS, self._watch, epoch)

    def _leave(self) -> None:
        """Close the connection and go to another control node."""
        assert self._address is not None
        lived = self.process.now - self._opened_at if self._is_connected else 0.0
        if self._is_connected and self._node is not None:
            self._send(self._node.take_closed, self, self._epoch)
        self._book.on_connection_ended(self._address, lived, self.process.now)
        was_subscribed = self._is_subscribed
        self._is_connected = False
        self._is_subscribed = False
        self._address = None
        self._epoch += 1
        if was_subscribed:
            self._owner.control_lost()
        self._connect()

    def _request(self, pending: _Pending, timeout: float, timed_out: Callable[[], None]) -> None:
        self._last_request += 1
        request = self._last_request
        self._pending[request] = pending
        self._send_pending(request, pending)

        def expire() -> None:
            if self._pending.pop(request, None) is not None:
                timed_out()

        self.process.call_later(timeout, expire)

    def _send_pending(self, request: int, pending: _Pending) -> None:
        if self._is_connected and self._node is not None:
            pending.sent = True
            pending.send(self._node, self._epoch, request)

    def _send(self, function: Callable[..., None], *arguments: object) -> None:
        assert self._node is not None
        self.process.send(self._node, function, *arguments, life=self._node_life)


def _ignore(_: CommandResult | None) -> None:
    """Take a result that nobody waits for."""


def _nothing() -> None:
    """Do nothing when a cancel can't be delivered in time."""
