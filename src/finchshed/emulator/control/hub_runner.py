"""Runs the production distribution hub of an emulated control node.

Counterpart of :mod:`finchshed.distribution.server` and
:mod:`finchshed.control.daemons.distribution_service`.
"""

from collections.abc import Callable, Sequence
from typing import Final, Protocol

from finchshed.configuration.store import CommittedRevision
from finchshed.control.state.commands import CommandResult
from finchshed.control.state.machine import ControlStateMachine
from finchshed.distribution.hub import Hub
from finchshed.distribution.hub_effects import Close, HubEffect, RequestConfirmation, SendLine
from finchshed.distribution.messages import ControlToDaemon, Delta, Subscribe
from finchshed.distribution.snapshot import Configuration
from finchshed.emulator.daemons.process import Process

TICK_SECONDS: Final = 0.25
"""Interval between ticks of the hub."""
CONTACT_CHECK_SECONDS: Final = 0.4
"""Interval between checks of the node's contact with a majority."""

Confirm = Callable[[Callable[[bool], None]], None]


class Subscription(Protocol):
    """The daemon's end of a connection to a control node."""

    @property
    def process(self) -> Process:
        """The daemon's process."""
        ...

    @property
    def generation(self) -> int:
        """Generation of the daemon that opened the connection."""
        ...

    def on_message(self, epoch: int, message: ControlToDaemon) -> None:
        """Handle a message from the control node."""

    def on_ledger_answer(self, epoch: int, request: int, result: CommandResult | None) -> None:
        """Handle the ledger's result, or None if there was no quorum."""

    def on_reset(self, epoch: int) -> None:
        """Handle a connection reset."""


class HubRunner:
    """Serves the daemons connected to one control node, for one generation of the node.

    Parameters
    ----------
    confirm
        Confirms with a quorum that the applied state is current; calls back with the result.
    in_contact
        Returns whether this node knows a leader.
    """

    def __init__(
        self,
        process: Process,
        machine: ControlStateMachine,
        confirm: Confirm,
        in_contact: Callable[[], bool],
    ) -> None:
        self._process = process
        self._machine = machine
        self._confirm = confirm
        self._in_contact = in_contact
        self._hub = Hub(process.name)
        self._connections: dict[int, tuple[Subscription, int]] = {}
        self._last_subscriber = 0
        self._ticket: int | None = None
        self._confirming = False

    def start(self) -> None:
        """Load the current configuration and start the timers."""
        self._perform(self._hub.restore(self._configuration(), self._process.now))
        self._process.call_later(TICK_SECONDS, self._tick)
        self._process.call_later(CONTACT_CHECK_SECONDS, self._check_contact)

    def set_alternatives(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses that redirected daemons are given."""
        self._hub.set_alternatives(addresses)

    def on_committed(self, committed: CommittedRevision) -> None:
        """Send a committed change to the subscribers."""
        delta = Delta(committed.revision - 1, committed.revision, committed.puts, committed.deletes)
        self._perform(self._hub.on_committed(delta, self._process.now))

    def on_restored(self) -> None:
        """Send the whole configuration to the subscribers."""
        self._perform(self._hub.restore(self._configuration(), self._process.now))

    def subscribe(self, link: Subscription, epoch: int, message: Subscribe) -> None:
        """Handle a daemon's subscription."""
        self._last_subscriber += 1
        subscriber = self._last_subscriber
        self._connections[subscriber] = (link, epoch)
        self._perform(self._hub.subscribe(subscriber, message, self._process.now))

    def in_force(self, link: Subscription, epoch: int, revision: int) -> None:
        """Handle a daemon's report of its revision in force, which is also its heartbeat."""
        subscriber = self._find_subscriber(link, epoch)
        if subscriber:
            self._hub.on_in_force(subscriber, revision, self._process.now)

    def fetch(self, link: Subscription, epoch: int, revision: int) -> None:
        """Send a daemon the changes after ``revision``."""
        subscriber = self._find_subscriber(link, epoch)
        if subscriber:
            self._perform(self._hub.on_fetch(subscriber, revision, self._process.now))

    def closed(self, link: Subscription, epoch: int) -> None:
        """Handle a connection closed by its daemon."""
        subscriber = self._find_subscriber(link, epoch)
        if subscriber:
            del self._connections[subscriber]
            self._hub.unsubscribe(subscriber)

    def broadcast(self, message: ControlToDaemon) -> None:
        """Send a message to every connected daemon."""
        for subscriber in list(self._connections):
            self._send(subscriber, message)

    def reset_all(self) -> None:
        """Reset all connections after a crash of this process."""
        for link, epoch in self._connections.values():
            self.reset(link, epoch)

    def reset(self, link: Subscription, epoch: int) -> None:
        """Reset one connection, as the operating system does whatever the process's state."""
        network = self._process.simulation.network
        daemon, generation = link.process, link.generation
        network.send(
            self._process.site,
            daemon.site,
            lambda: daemon.dispatch(generation, link.on_reset, epoch),
        )

    def _configuration(self) -> Configuration:
        store = self._machine.store
        return Configuration(store.revision, dict(store.resources))

    def _find_subscriber(self, link: Subscription, epoch: int) -> int:
        for subscriber, held in self._connections.items():
            if held == (link, epoch):
                return subscriber
        return 0

    def _perform(self, effects: Sequence[HubEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendLine):
                for subscriber in effect.subscribers:
                    self._send(subscriber, effect.line.message)  # type: ignore[arg-type]
            elif isinstance(effect, RequestConfirmation):
                self._ticket = effect.ticket
                self._start_confirming()
            elif isinstance(effect, Close):
                held = self._connections.pop(effect.subscriber, None)
                if held is not None:
                    self.reset(*held)

    def _send(self, subscriber: int, message: ControlToDaemon) -> None:
        held = self._connections.get(subscriber)
        if held is not None:
            link, epoch = held
            self._process.send(
                link.process, link.on_message, epoch, message, generation=link.generation
            )

    def _start_confirming(self) -> None:
        if self._confirming or self._ticket is None:
            return
        self._confirming = True
        ticket, self._ticket = self._ticket, None

        def answered(confirmed: bool) -> None:
            self._confirming = False
            if confirmed:
                self._perform(self._hub.on_confirmed(ticket, self._process.now))
            self._start_confirming()

        self._confirm(answered)

    def _tick(self) -> None:
        self._perform(self._hub.tick(self._process.now))
        self._process.call_later(TICK_SECONDS, self._tick)

    def _check_contact(self) -> None:
        self._hub.on_quorum_contact(self._in_contact(), self._process.now)
        self._process.call_later(CONTACT_CHECK_SECONDS, self._check_contact)
