"""Calling end of an emulated link between daemons: connection epochs, heartbeats and timeouts.

Counterpart of :mod:`finchshed.link.peer`. Each end of a link detects a lost connection on its own;
in a network partition, it does so by a timeout.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from finchshed.admission.load_report import LoadReport
from finchshed.common.context import CallContext
from finchshed.common.outcomes import RefusalReason
from finchshed.emulator.daemons.accepted_link import CallMessage, SimulatedAcceptedLink
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.request import SimulatedRequest
from finchshed.link.messages import (
    Reply,
)

HEARTBEAT_SECONDS: Final = 0.25
"""Interval between heartbeats; the default in a daemon's settings."""
IDLE_TIMEOUT_SECONDS: Final = 1.0
"""A link is broken after this time without a message; the default in a daemon's settings."""
CONNECT_TIMEOUT_SECONDS: Final = 0.5
"""Timeout of a connection attempt; the default in a daemon's settings."""


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """One attempt of a call to an endpoint.

    ``on_reply`` receives the reply, or None if the link broke after the attempt was sent.
    ``on_unsent`` is called instead if the attempt was never sent.
    """

    request: SimulatedRequest
    context: CallContext
    deadline: float
    on_reply: Callable[[Reply | None], None]
    on_unsent: Callable[[RefusalReason], None]
    identity: int = 0
    withdrawn: bool = False


class CallingDaemon(Protocol):
    """Callbacks from the calling end of a link to its daemon."""

    def link_opened(self, endpoint: str, incarnation: str) -> None:
        """Handle an opened link."""

    def link_broken(self, endpoint: str) -> None:
        """Handle a link that broke or couldn't be opened."""

    def draining_seen(self, endpoint: str) -> None:
        """Handle an endpoint's notice that it accepts no new calls."""

    def load_reported(self, endpoint: str, load: LoadReport) -> None:
        """Handle a load report received with a heartbeat."""

    def revision_seen(self, node: str, revision: int) -> None:
        """Handle the revision received from a peer."""

    def revision(self) -> int:
        """Return the revision in force."""
        ...


class DaemonLink:
    """Calling end of a link to one endpoint, which reconnects as needed."""

    def __init__(
        self,
        process: Process,
        daemon: CallingDaemon,
        endpoint: str,
        target: Process,
        accept: Callable[["DaemonLink", str], None],
    ) -> None:
        self.process = process
        self.generation = process.generation
        self.endpoint = endpoint
        self.connected = False
        self._daemon = daemon
        self._target = target
        self._target_generation = 0
        self._accept = accept
        self._accepted: SimulatedAcceptedLink | None = None
        self._connecting = False
        self._connections = 0
        self._epoch = ""
        self._next_call = 1
        self._pending: dict[int, SimulatedAttempt] = {}
        self._unsent: list[SimulatedAttempt] = []
        self._last_received_at = 0.0
        self._next_connect_at = 0.0

    def send(self, attempt: SimulatedAttempt) -> None:
        """Send an attempt, opening the link first if it is closed."""
        if self.connected:
            self._send_call(attempt)
            return
        if self.process.now < self._next_connect_at:
            attempt.on_unsent(RefusalReason.CONNECT_FAILED)
            return
        self._unsent.append(attempt)
        if not self._connecting:
            self._connect()

    def withdraw(self, attempt: SimulatedAttempt) -> None:
        """Cancel an attempt; neither of its callbacks is called afterwards."""
        attempt.withdrawn = True
        if self._pending.pop(attempt.identity, None) is not None and self._accepted is not None:
            self._send(self._accepted.on_cancel, attempt.identity)

    def open(self) -> None:
        """Open the link if it is closed."""
        if not self.connected and not self._connecting:
            self._connect()

    def send_reset(self) -> None:
        """Reset the connection, as the operating system does when a process dies."""
        accepted, generation, target = self._accepted, self._target_generation, self._target
        if accepted is not None:
            network = self.process.simulation.network
            network.send(
                self.process.site, target.site, lambda: target.dispatch(generation, accepted.close)
            )

    def on_accepted(self, epoch: str, accepted: SimulatedAcceptedLink, incarnation: str) -> None:
        """Handle the peer's acceptance of the connection."""
        if epoch != self._epoch or not self._connecting:
            return
        self._connecting = False
        self.connected = True
        self._accepted = accepted
        self._last_received_at = self.process.now
        self._daemon.link_opened(self.endpoint, incarnation)
        unsent, self._unsent = self._unsent, []
        for attempt in unsent:
            if not attempt.withdrawn:
                self._send_call(attempt)
        self.process.call_later(HEARTBEAT_SECONDS, self._send_heartbeat, epoch)

    def on_reply(self, reply: Reply) -> None:
        """Handle a reply; one without a pending attempt on this connection is dropped."""
        if reply.epoch != self._epoch or not self.connected:
            return
        self._last_received_at = self.process.now
        self._daemon.revision_seen(self.endpoint, reply.revision)
        attempt = self._pending.pop(reply.call, None)
        if attempt is not None:
            attempt.on_reply(reply)

    def on_pong(self, epoch: str, load: LoadReport, revision: int) -> None:
        """Handle the answer to a heartbeat."""
        if epoch != self._epoch or not self.connected:
            return
        self._last_received_at = self.process.now
        self._daemon.load_reported(self.endpoint, load)
        self._daemon.revision_seen(self.endpoint, revision)

    def on_draining(self, epoch: str) -> None:
        """Handle the peer's notice that it accepts no new calls."""
        if epoch == self._epoch:
            self._daemon.draining_seen(self.endpoint)

    def on_reset(self, epoch: str) -> None:
        """Handle a reset or refused connection."""
        if epoch == self._epoch and (self.connected or self._connecting):
            self._disconnect()

    def _connect(self) -> None:
        self._connections += 1
        self._connecting = True
        self._epoch = f"{self.process.name}.{self.generation}>{self.endpoint}.{self._connections}"
        epoch = self._epoch
        network = self.process.simulation.network
        network.send(self.process.site, self._target.site, lambda: self._deliver_connect(epoch))
        self.process.call_later(CONNECT_TIMEOUT_SECONDS, self._connect_timed_out, epoch)

    def _deliver_connect(self, epoch: str) -> None:
        """Deliver the connection request; a target that is down refuses it."""
        if not self._target.up:
            self._target.send(self.process, self.on_reset, epoch, generation=self.generation)
            return
        self._target_generation = self._target.generation
        self._target.dispatch(self._target.generation, self._accept, self, epoch)

    def _connect_timed_out(self, epoch: str) -> None:
        if epoch == self._epoch and self._connecting:
            self._disconnect()

    def _send_call(self, attempt: SimulatedAttempt) -> None:
        remaining = attempt.deadline - self.process.now
        if remaining <= 0.0:
            attempt.on_unsent(RefusalReason.DEADLINE)
            return
        attempt.identity = self._next_call
        self._next_call += 1
        self._pending[attempt.identity] = attempt
        message = CallMessage(
            self._epoch,
            attempt.identity,
            attempt.request,
            attempt.context,
            self._daemon.revision(),
        )
        assert self._accepted is not None
        self._send(self._accepted.on_call, message)

    def _send(self, function: Callable[..., None], *arguments: object) -> None:
        self.process.send(self._target, function, *arguments, generation=self._target_generation)

    def _send_heartbeat(self, epoch: str) -> None:
        if epoch != self._epoch or not self.connected:
            return
        idle_seconds = self.process.now - self._last_received_at
        if idle_seconds >= IDLE_TIMEOUT_SECONDS:
            self._disconnect()
            return
        assert self._accepted is not None
        if idle_seconds >= HEARTBEAT_SECONDS / 2:
            self._send(self._accepted.on_ping, self._daemon.revision())
        self.process.call_later(HEARTBEAT_SECONDS, self._send_heartbeat, epoch)

    def _disconnect(self) -> None:
        was_connected = self.connected
        self.connected = False
        self._connecting = False
        self._epoch = ""
        self._next_connect_at = self.process.now + (0.05 if was_connected else 0.2)
        if self._accepted is not None:
            self._send(self._accepted.close)
            self._accepted = None
        self._daemon.link_broken(self.endpoint)
        pending, self._pending = self._pending, {}
        unsent, self._unsent = self._unsent, []
        for attempt in pending.values():
            if not attempt.withdrawn:
                attempt.on_reply(None)
        for attempt in unsent:
            if not attempt.withdrawn:
                attempt.on_unsent(RefusalReason.CONNECT_FAILED)
