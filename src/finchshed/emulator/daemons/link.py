"""The link from one daemon to the daemon beside a back end: epochs, heartbeats, silence.

Mirrors what :mod:`finchshed.link.peer` and :mod:`finchshed.link.listener` do over TCP. The two ends
of a link learn separately that it is gone: an end that is cut off notices by silence.
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
"""Seconds between heartbeats; the default of a daemon's settings."""
SILENCE_SECONDS: Final = 1.0
"""Seconds without a sign after which a link is broken; the default of a daemon's settings."""
CONNECT_TIMEOUT_SECONDS: Final = 0.5
"""Longest wait for a connection, seconds; the default of a daemon's settings."""


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """One attempt of a call on its way to an endpoint.

    ``on_reply`` gets the reply, or None when the link broke after the send; ``on_unsent`` is
    called if the attempt was never sent.
    """

    request: SimulatedRequest
    context: CallContext
    deadline: float
    on_reply: Callable[[Reply | None], None]
    on_unsent: Callable[[RefusalReason], None]
    identity: int = 0
    withdrawn: bool = False


class CallingDaemon(Protocol):
    """What the calling end of a link needs of its daemon."""

    def link_opened(self, endpoint: str, incarnation: str) -> None:
        """Take note that the link is open."""

    def link_broken(self, endpoint: str) -> None:
        """Take note that the link broke or can't be opened."""

    def draining_seen(self, endpoint: str) -> None:
        """Take note that an endpoint takes no new calls."""

    def load_reported(self, endpoint: str, load: LoadReport) -> None:
        """Take a load report that came with a heartbeat."""

    def revision_seen(self, node: str, revision: int) -> None:
        """Take note that a peer holds this revision."""

    def revision(self) -> int:
        """Return the revision in force."""
        ...


class DaemonLink:
    """The calling end of a link to one endpoint, over its successive connections."""

    def __init__(
        self,
        process: Process,
        daemon: CallingDaemon,
        endpoint: str,
        target: Process,
        accept: Callable[["DaemonLink", str], None],
    ) -> None:
        self.process = process
        self.life = process.life
        self.endpoint = endpoint
        self.connected = False
        self._daemon = daemon
        self._target = target
        self._target_life = 0
        self._accept = accept
        self._accepted: SimulatedAcceptedLink | None = None
        self._connecting = False
        self._connections = 0
        self._epoch = ""
        self._next_call = 1
        self._pending: dict[int, SimulatedAttempt] = {}
        self._waiting: list[SimulatedAttempt] = []
        self._heard_at = 0.0
        self._not_before = 0.0

    def send(self, attempt: SimulatedAttempt) -> None:
        """Send an attempt, opening the link first where needed."""
        if self.connected:
            self._send_call(attempt)
            return
        if self.process.now < self._not_before:
            attempt.on_unsent(RefusalReason.CONNECT_FAILED)
            return
        self._waiting.append(attempt)
        if not self._connecting:
            self._connect()

    def withdraw(self, attempt: SimulatedAttempt) -> None:
        """Give an attempt up; neither of its callbacks is called any more."""
        attempt.withdrawn = True
        if self._pending.pop(attempt.identity, None) is not None and self._accepted is not None:
            self._send(self._accepted.on_cancel, attempt.identity)

    def open(self) -> None:
        """Open the link if it isn't."""
        if not self.connected and not self._connecting:
            self._connect()

    def peer_reset(self) -> None:
        """Tell the peer that this process is gone (its operating system resets)."""
        accepted, life, target = self._accepted, self._target_life, self._target
        if accepted is not None:
            network = self.process.simulation.network
            network.send(
                self.process.site, target.site, lambda: target.dispatch(life, accepted.close)
            )

    def on_accepted(self, epoch: str, accepted: SimulatedAcceptedLink, incarnation: str) -> None:
        """Take the peer's first line."""
        if epoch != self._epoch or not self._connecting:
            return
        self._connecting = False
        self.connected = True
        self._accepted = accepted
        self._heard_at = self.process.now
        self._daemon.link_opened(self.endpoint, incarnation)
        waiting, self._waiting = self._waiting, []
        for attempt in waiting:
            if not attempt.withdrawn:
                self._send_call(attempt)
        self.process.call_later(HEARTBEAT_SECONDS, self._beat, epoch)

    def on_reply(self, reply: Reply) -> None:
        """Take a reply; one that nobody waits for on this connection is dropped."""
        if reply.epoch != self._epoch or not self.connected:
            return
        self._heard_at = self.process.now
        self._daemon.revision_seen(self.endpoint, reply.revision)
        attempt = self._pending.pop(reply.call, None)
        if attempt is not None:
            attempt.on_reply(reply)

    def on_pong(self, epoch: str, load: LoadReport, revision: int) -> None:
        """Take the answer to a heartbeat."""
        if epoch != self._epoch or not self.connected:
            return
        self._heard_at = self.process.now
        self._daemon.load_reported(self.endpoint, load)
        self._daemon.revision_seen(self.endpoint, revision)

    def on_draining(self, epoch: str) -> None:
        """Take the peer's word that it takes no new calls."""
        if epoch == self._epoch:
            self._daemon.draining_seen(self.endpoint)

    def on_reset(self, epoch: str) -> None:
        """Take the news that the connection is gone or was refused."""
        if epoch == self._epoch and (self.connected or self._connecting):
            self._break()

    def _connect(self) -> None:
        self._connections += 1
        self._connecting = True
        self._epoch = f"{self.process.name}.{self.life}>{self.endpoint}.{self._connections}"
        epoch = self._epoch
        network = self.process.simulation.network
        network.send(self.process.site, self._target.site, lambda: self._reach(epoch))
        self.process.call_later(CONNECT_TIMEOUT_SECONDS, self._connect_timed_out, epoch)

    def _reach(self, epoch: str) -> None:
        """Arrive at the target's machine, whose operating system answers if the process is down."""
        if not self._target.up:
            self._target.send(self.process, self.on_reset, epoch, life=self.life)
            return
        self._target_life = self._target.life
        self._target.dispatch(self._target.life, self._accept, self, epoch)

    def _connect_timed_out(self, epoch: str) -> None:
        if epoch == self._epoch and self._connecting:
            self._break()

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
        self.process.send(self._target, function, *arguments, life=self._target_life)

    def _beat(self, epoch: str) -> None:
        if epoch != self._epoch or not self.connected:
            return
        silent = self.process.now - self._heard_at
        if silent >= SILENCE_SECONDS:
            self._break()
            return
        assert self._accepted is not None
        if silent >= HEARTBEAT_SECONDS / 2:
            self._send(self._accepted.on_ping, self._daemon.revision())
        self.process.call_later(HEARTBEAT_SECONDS, self._beat, epoch)

    def _break(self) -> None:
        was_connected = self.connected
        self.connected = False
        self._connecting = False
        self._epoch = ""
        self._not_before = self.process.now + (0.05 if was_connected else 0.2)
        if self._accepted is not None:
            self._send(self._accepted.close)
            self._accepted = None
        self._daemon.link_broken(self.endpoint)
        pending, self._pending = self._pending, {}
        waiting, self._waiting = self._waiting, []
        for attempt in pending.values():
            if not attempt.withdrawn:
                attempt.on_reply(None)
        for attempt in waiting:
            if not attempt.withdrawn:
                attempt.on_unsent(RefusalReason.CONNECT_FAILED)
