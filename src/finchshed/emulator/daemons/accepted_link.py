"""The serving end of an emulated link. Mirrors :mod:`finchshed.link.listener`."""

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

ACCEPTED_SILENCE_SECONDS: Final = 2.0
"""The serving end waits longer: the calling end's heartbeats may be late."""


@dataclass(slots=True)
class CallMessage:
    """A call on a link; the emulator's counterpart of :class:`finchshed.link.messages.Call`."""

    epoch: str
    call: int
    request: SimulatedRequest
    context: CallContext
    revision: int


class CallingEnd(Protocol):
    """What the serving end sends to the calling end."""

    @property
    def process(self) -> Process:
        """The calling daemon."""
        ...

    @property
    def life(self) -> int:
        """Life of the calling daemon that the link belongs to."""
        ...

    def on_reply(self, reply: Reply) -> None:
        """Take a reply."""

    def on_pong(self, epoch: str, load: LoadReport, revision: int) -> None:
        """Take the answer to a heartbeat."""

    def on_draining(self, epoch: str) -> None:
        """Take the word that no new calls are taken."""

    def on_reset(self, epoch: str) -> None:
        """Take the news that the connection is gone."""


class ServingDaemon(Protocol):
    """What the serving end of a link needs of its daemon."""

    def take_call(self, link: "SimulatedAcceptedLink", message: CallMessage) -> None:
        """Take a call."""

    def give_up_call(self, link: "SimulatedAcceptedLink", call: int) -> None:
        """Drop a call whose caller has given up or is gone."""

    def load_report(self) -> LoadReport:
        """Return the load as callers are told."""
        ...

    def revision_seen(self, node: str, revision: int) -> None:
        """Take note that a peer holds this revision."""

    def revision(self) -> int:
        """Return the revision in force."""
        ...

    def incarnation(self) -> str:
        """Return the identity of the process's present life."""
        ...


class SimulatedAcceptedLink:
    """The serving end of a link."""

    def __init__(
        self, process: Process, daemon: ServingDaemon, calling_end: CallingEnd, epoch: str
    ) -> None:
        self.epoch = epoch
        self.open = True
        self._process = process
        self._daemon = daemon
        self._calling_end = calling_end
        self._heard_at = process.now
        self._calls: set[int] = set()
        process.call_later(ACCEPTED_SILENCE_SECONDS, self._watch)

    @property
    def caller(self) -> str:
        """Name of the calling node."""
        return self._calling_end.process.name

    def on_call(self, message: CallMessage) -> None:
        """Take a call from the network. A call seen before is dropped."""
        if not self.open or message.call in self._calls:
            return
        self._heard_at = self._process.now
        self._calls.add(message.call)
        self._daemon.revision_seen(self.caller, message.revision)
        self._daemon.take_call(self, message)

    def on_cancel(self, call: int) -> None:
        """Take the caller's giving up."""
        self._heard_at = self._process.now
        if self.open:
            self._daemon.give_up_call(self, call)

    def on_ping(self, revision: int) -> None:
        """Answer a heartbeat."""
        if not self.open:
            return
        self._heard_at = self._process.now
        self._daemon.revision_seen(self.caller, revision)
        self._send(
            self._calling_end.on_pong,
            self.epoch,
            self._daemon.load_report(),
            self._daemon.revision(),
        )

    def reply(self, reply: Reply) -> None:
        """Answer a call."""
        if self.open:
            self._send(self._calling_end.on_reply, reply)

    def tell_draining(self) -> None:
        """Tell the caller that no new calls are taken."""
        if self.open:
            self._send(self._calling_end.on_draining, self.epoch)

    def close(self) -> None:
        """Close, and give up the calls that came on the link."""
        if not self.open:
            return
        self.open = False
        for call in sorted(self._calls):
            self._daemon.give_up_call(self, call)
        self._calls.clear()

    def caller_reset(self) -> None:
        """Tell the caller that this process is gone (its operating system resets)."""
        network = self._process.simulation.network
        link, epoch, life = self._calling_end, self.epoch, self._calling_end.life
        network.send(
            self._process.site,
            link.process.site,
            lambda: link.process.dispatch(life, link.on_reset, epoch),
        )

    def _send(self, function: Callable[..., None], *arguments: object) -> None:
        caller = self._calling_end.process
        self._process.send(caller, function, *arguments, life=self._calling_end.life)

    def _watch(self) -> None:
        if not self.open:
            return
        silent = self._process.now - self._heard_at
        if silent >= ACCEPTED_SILENCE_SECONDS:
            self.close()
            return
        self._process.call_later(ACCEPTED_SILENCE_SECONDS - silent + 1e-6, self._watch)
