"""An emulated daemon's client of the control group, connected to one control node at a time.

Counterpart of :mod:`finchshed.distribution.client`. The production
:class:`~finchshed.distribution.addresses.AddressBook` chooses the node and the retry delay.
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

CONNECT_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of a connection attempt."""
IDLE_TIMEOUT_SECONDS: Final = 2.0
"""The client reconnects after this time without a message."""
HEARTBEAT_SECONDS: Final = 1.0
"""Interval between heartbeats; same as in production."""
CHECK_INTERVAL_SECONDS: Final = 0.5
"""Interval between checks for the idle timeout and due heartbeats."""
CANCEL_TIMEOUT_SECONDS: Final = 30.0
"""How long a cancellation is kept for delivery."""


class ControlClientListener(Protocol):
    """Callbacks from the client to its daemon."""

    def control_delta(self, delta: Delta) -> None:
        """Handle a configuration change."""

    def control_connected(self) -> None:
        """Handle an accepted subscription."""

    def control_lost(self) -> None:
        """Handle the loss of the subscription."""

    def hints(self, hints: Hints) -> None:
        """Handle the platform's list of leaving machines."""

    def revision_held(self) -> int:
        """Return the revision to subscribe from."""
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
    """Maintains a connection to one control node, for one generation of a daemon."""

    def __init__(
        self,
        process: Process,
        identity: ClientIdentity,
        nodes: Mapping[str, SimulatedControlNode],
        listener: ControlClientListener,
        rng: random.Random,
    ) -> None:
        self.process = process
        self.generation = process.generation
        self._identity = identity
        self._nodes = nodes
        self._listener = listener
        addresses = [ControlAddress(address, node.site.zone) for address, node in nodes.items()]
        self._addresses = AddressBook(addresses, identity.zone, rng)
        self._epoch = 0
        self._address: ControlAddress | None = None
        self._node: SimulatedControlNode | None = None
        self._node_generation = 0
        self._is_connected = False
        self._is_subscribed = False
        self._opened_at = 0.0
        self._last_received_at = 0.0
        self._heartbeat_due = 0.0
        self._pending: dict[int, _Pending] = {}
        self._last_request = 0

    def start(self) -> None:
        """Connect, and reconnect whenever the connection is lost."""
        self._connect()

    def report_in_force(self, revision: int) -> None:
        """Report the revision in force to the control node."""
        if self._is_subscribed and self._node is not None:
            self._heartbeat_due = self.process.now + HEARTBEAT_SECONDS
            self._send(self._node.on_in_force, self, self._epoch, revision)

    def fetch(self, revision: int) -> None:
        """Request the changes after ``revision``."""
        if self._is_connected and self._node is not None:
            self._send(self._node.on_fetch, self, self._epoch, revision)

    def begin(self, key: str, attempt: str, timeout: float, done: OnLedgerResult) -> None:
        """Request a grant to run the request with this key."""

        def send(node: SimulatedControlNode, epoch: int, request: int) -> None:
            self._send(node.ledger_begin, self, epoch, request, key, attempt)

        pending = _Pending(send, done)  # type: ignore[arg-type]

        def timed_out() -> None:
            if pending.sent:
                self.cancel(key, attempt)
            done(None)

        self._request(pending, timeout, timed_out)

    def cancel(self, key: str, attempt: str) -> None:
        """Release the grant of an attempt that was never sent."""

        def send(node: SimulatedControlNode, epoch: int, request: int) -> None:
            self._send(node.ledger_cancel, self, epoch, request, key, attempt)

        self._request(_Pending(send, _ignore_result), CANCEL_TIMEOUT_SECONDS, _ignore_timeout)

    def complete(
        self, key: str, attempt: str, answer: Answered, timeout: float, done: Callable[[], None]
    ) -> None:
        """Record the complete answer; calls ``done`` on commit or after ``timeout`` seconds."""

        def send(node: SimulatedControlNode, epoch: int, request: int) -> None:
            command = CompleteRequest(key, attempt, answer)
            self._send(node.ledger_complete, self, epoch, request, command)

        self._request(_Pending(send, lambda _: done()), timeout, done)

    # Messages from the control node.

    def on_connected(self, epoch: int) -> None:
        """Handle an established connection: subscribe and send pending requests."""
        if epoch != self._epoch or self._node is None or self._is_connected:
            return
        self._is_connected = True
        self._opened_at = self._last_received_at = self.process.now
        identity = self._identity
        subscribe = Subscribe(
            node=identity.node,
            incarnation=identity.incarnation,
            service=identity.service,
            zone=identity.zone,
            revision=self._listener.revision_held(),
            endpoint=identity.endpoint,
        )
        self._send(self._node.on_subscribe, self, epoch, subscribe)
        for request, pending in list(self._pending.items()):
            self._send_pending(request, pending)
        self.process.call_later(CHECK_INTERVAL_SECONDS, self._check_connection, epoch)

    def on_message(self, epoch: int, message: ControlToDaemon) -> None:
        """Handle a message from the control node."""
        if epoch != self._epoch or not self._is_connected:
            return
        self._last_received_at = self.process.now
        if isinstance(message, Delta):
            if not self._is_subscribed:
                self._is_subscribed = True
                self._listener.control_connected()
            self._listener.control_delta(message)
        elif isinstance(message, Redirect):
            self._addresses.add(message.addresses)
            self._reconnect()
        elif isinstance(message, Hints):
            self._listener.hints(message)

    def on_ledger_answer(self, epoch: int, request: int, result: CommandResult | None) -> None:
        """Handle the ledger's result; None or a refusal means that nothing was granted."""
        if epoch != self._epoch:
            return
        self._last_received_at = self.process.now
        pending = self._pending.pop(request, None)
        if pending is not None:
            pending.done(result)

    def on_reset(self, epoch: int) -> None:
        """Handle a reset or refused connection."""
        if epoch == self._epoch and self._address is not None:
            self._reconnect()

    def _connect(self) -> None:
        attempt = self._addresses.next_attempt(self.process.now)
        if attempt.wait_seconds > 0.0:
            self.process.call_later(attempt.wait_seconds + 1e-6, self._connect)
            return
        self._epoch += 1
        self._address = attempt.address
        self._node = self._nodes[attempt.address.address]
        node, epoch = self._node, self._epoch
        network = self.process.simulation.network
        network.send(self.process.site, node.site, lambda: self._deliver_connect(node, epoch))
        self.process.call_later(CONNECT_TIMEOUT_SECONDS, self._connect_timed_out, epoch)

    def _deliver_connect(self, node: SimulatedControlNode, epoch: int) -> None:
        """Deliver the connection request; a node that is down refuses it."""
        self._node_generation = node.generation
        function = self.on_connected if node.up else self.on_reset
        daemon, generation = self.process, self.generation
        network = self.process.simulation.network
        network.send(node.site, daemon.site, lambda: daemon.dispatch(generation, function, epoch))

    def _connect_timed_out(self, epoch: int) -> None:
        if epoch == self._epoch and not self._is_connected and self._address is not None:
            self._reconnect()

    def _check_connection(self, epoch: int) -> None:
        if epoch != self._epoch or not self._is_connected:
            return
        now = self.process.now
        if now - self._last_received_at > IDLE_TIMEOUT_SECONDS:
            self._reconnect()
            return
        if self._is_subscribed and now >= self._heartbeat_due:
            self.report_in_force(self._listener.revision_in_force())
        self.process.call_later(CHECK_INTERVAL_SECONDS, self._check_connection, epoch)

    def _reconnect(self) -> None:
        """Close the connection and connect to the next control node."""
        assert self._address is not None
        connected_seconds = self.process.now - self._opened_at if self._is_connected else 0.0
        if self._is_connected and self._node is not None:
            self._send(self._node.on_closed, self, self._epoch)
        self._addresses.on_connection_ended(self._address, connected_seconds, self.process.now)
        was_subscribed = self._is_subscribed
        self._is_connected = False
        self._is_subscribed = False
        self._address = None
        self._epoch += 1
        if was_subscribed:
            self._listener.control_lost()
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
        self.process.send(self._node, function, *arguments, generation=self._node_generation)


def _ignore_result(_: CommandResult | None) -> None:
    """Ignore the result of a cancellation."""


def _ignore_timeout() -> None:
    """Ignore the timeout of a cancellation."""
