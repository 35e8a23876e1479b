"""Serving end of an emulated link. Counterpart of :mod:`finchshed.link.listener`."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from finchshed.admission.load_report import LoadReport
from finchshed.common.context import CallContext
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.request import SimulatedRequest
from finchshed.link.messages import (
    Reply,
)

ACCEPTED_IDLE_TIMEOUT_SECONDS: Final = 2.0
"""Idle timeout of the serving end, longer than the caller's since heartbeats may be late."""


@dataclass(slots=True)
class CallMessage:
    """A call sent over a link. Counterpart of :class:`finchshed.link.messages.Call`."""

    epoch: str
    call: int
    request: SimulatedRequest
    context: CallContext
    revision: int


class CallingEnd(Protocol):
    """Messages from the serving end to the calling end."""

    @property
    def process(self) -> Process:
        """The calling daemon."""
        ...

    @property
    def generation(self) -> int:
        """Generation of the calling daemon that opened the link."""
        ...

    def on_reply(self, reply: Reply) -> None:
        """Handle a reply."""

    def on_pong(self, epoch: str, load: LoadReport, revision: int) -> None:
        """Handle the answer to a heartbeat."""

    def on_draining(self, epoch: str) -> None:
        """Handle the notice that no new calls are accepted."""

    def on_reset(self, epoch: str) -> None:
        """Handle a connection reset."""


class ServingDaemon(Protocol):
    """Callbacks from the serving end of a link to its daemon."""

    def handle_call(self, link: "SimulatedAcceptedLink", message: CallMessage) -> None:
        """Handle an incoming call."""

    def cancel_call(self, link: "SimulatedAcceptedLink", call: int) -> None:
        """Cancel a call whose caller cancelled it or disconnected."""

    def load_report(self) -> LoadReport:
        """Return the load report for callers."""
        ...

    def revision_seen(self, node: str, revision: int) -> None:
        """Handle the revision received from a peer."""

    def revision(self) -> int:
        """Return the revision in force."""
        ...

    def incarnation(self) -> str:
        """Return the identity of the current incarnation."""
        ...


class SimulatedAcceptedLink:
    """Serving end of a link, for one connection."""

    def __init__(
        self, process: Process, daemon: ServingDaemon, calling_end: CallingEnd, epoch: str
    ) -> None:
        self.epoch = epoch
        self.open = True
        self._process = process
        self._daemon = daemon
        self._calling_end = calling_end
        self._last_received_at = process.now
        self._calls: set[int] = set()
        process.call_later(ACCEPTED_IDLE_TIMEOUT_SECONDS, self._check_idle)

    @property
    def caller(self) -> str:
        """Name of the calling node."""
        return self._calling_end.process.name

    def on_call(self, message: CallMessage) -> None:
        """Handle a call; a duplicate is dropped."""
        if not self.open or message.call in self._calls:
            return
        self._last_received_at = self._process.now
        self._calls.add(message.call)
        self._daemon.revision_seen(self.caller, message.revision)
        self._daemon.handle_call(self, message)

    def on_cancel(self, call: int) -> None:
        """Handle the cancellation of a call by its caller."""
        self._last_received_at = self._process.now
        if self.open:
            self._daemon.cancel_call(self, call)

    def on_ping(self, revision: int) -> None:
        """Answer a heartbeat."""
        if not self.open:
            return
        self._last_received_at = self._process.now
        self._daemon.revision_seen(self.caller, revision)
        self._send(
            self._calling_end.on_pong,
            self.epoch,
            self._daemon.load_report(),
            self._daemon.revision(),
        )

    def reply(self, reply: Reply) -> None:
        """Send the reply to a call."""
        if self.open:
            self._send(self._calling_end.on_reply, reply)

    def send_draining(self) -> None:
        """Notify the caller that no new calls are accepted."""
        if self.open:
            self._send(self._calling_end.on_draining, self.epoch)

    def close(self) -> None:
        """Close the link and cancel the calls received on it."""
        if not self.open:
            return
        self.open = False
        for call in sorted(self._calls):
            self._daemon.cancel_call(self, call)
        self._calls.clear()

    def send_reset(self) -> None:
        """Reset the connection, as the operating system does when a process dies."""
        network = self._process.simulation.network
        link, epoch, generation = self._calling_end, self.epoch, self._calling_end.generation
        network.send(
            self._process.site,
            link.process.site,
            lambda: link.process.dispatch(generation, link.on_reset, epoch),
        )

    def _send(self, function: Callable[..., None], *arguments: object) -> None:
        caller = self._calling_end.process
        self._process.send(caller, function, *arguments, generation=self._calling_end.generation)

    def _check_idle(self) -> None:
        if not self.open:
            return
        idle_seconds = self._process.now - self._last_received_at
        if idle_seconds >= ACCEPTED_IDLE_TIMEOUT_SECONDS:
            self.close()
            return
        self._process.call_later(
            ACCEPTED_IDLE_TIMEOUT_SECONDS - idle_seconds + 1e-6, self._check_idle
        )
