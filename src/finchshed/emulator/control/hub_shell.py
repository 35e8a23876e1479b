"""Carries out what the hub of a control node asks for.

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
"""Seconds between ticks of the hub; chosen, not measured."""
CONTACT_SECONDS: Final = 0.4
"""Seconds between looks whether the node is in contact with a majority; chosen, not measured."""

Confirm = Callable[[Callable[[bool], None]], None]


class Subscription(Protocol):
    """A daemon's end of its connection to a control node."""

    @property
    def process(self) -> Process:
        """The daemon."""
        ...

    @property
    def generation(self) -> int:
        """Life of the daemon that the connection belongs to."""
        ...

    def on_message(self, epoch: int, message: ControlToDaemon) -> None:
        """Take a message of the control node."""

    def on_ledger_answer(self, epoch: int, request: int, result: CommandResult | None) -> None:
        """Take the ledger's answer, or None where there was no quorum."""

    def on_reset(self, epoch: int) -> None:
        """Take the news that the connection is gone."""


class HubShell:
    """Serves the daemons connected to one control node, in one generation of it.

    Parameters
    ----------
    confirm
        Reads the latest revision from a quorum; its callback gets whether that succeeded.
    in_contact
        Whether this node knows of a leader.
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
        self._last_number = 0
        self._ticket: int | None = None
        self._confirming = False

    def start(self) -> None:
        """Begin to tick."""
        self._perform(self._hub.restore(self._configuration(), self._process.now))
        self._process.call_later(TICK_SECONDS, self._tick)
        self._process.call_later(CONTACT_SECONDS, self._watch_contact)

    def set_alternatives(self, addresses: tuple[str, ...]) -> None:
        """Name other control nodes for daemons that have to move."""
        self._hub.set_alternatives(addresses)

    def on_committed(self, committed: CommittedRevision) -> None:
        """SendLine an accepted change on."""
        delta = Delta(committed.revision - 1, committed.revision, committed.puts, committed.deletes)
        self._perform(self._hub.on_committed(delta, self._process.now))

    def on_restored(self) -> None:
        """SendLine the whole configuration on."""
        self._perform(self._hub.restore(self._configuration(), self._process.now))

    def subscribe(self, link: Subscription, epoch: int, message: Subscribe) -> None:
        """Take a daemon's first message."""
        self._last_number += 1
        number = self._last_number
        self._connections[number] = (link, epoch)
        self._perform(self._hub.subscribe(number, message, self._process.now))

    def in_force(self, link: Subscription, epoch: int, revision: int) -> None:
        """Take a daemon's report or heartbeat."""
        number = self._number_of(link, epoch)
        if number:
            self._hub.on_in_force(number, revision, self._process.now)

    def fetch(self, link: Subscription, epoch: int, revision: int) -> None:
        """Answer a daemon that asks for what follows ``revision``."""
        number = self._number_of(link, epoch)
        if number:
            self._perform(self._hub.on_fetch(number, revision, self._process.now))

    def closed(self, link: Subscription, epoch: int) -> None:
        """Take the news that a daemon closed its connection."""
        number = self._number_of(link, epoch)
        if number:
            del self._connections[number]
            self._hub.unsubscribe(number)

    def broadcast(self, message: ControlToDaemon) -> None:
        """SendLine to every daemon connected here."""
        for number in list(self._connections):
            self._send(number, message)

    def reset_all(self) -> None:
        """Reset every connection, because the process is gone."""
        for link, epoch in self._connections.values():
            self.reset(link, epoch)

    def reset(self, link: Subscription, epoch: int) -> None:
        """Reset one connection; the operating system does it, whatever the process's state."""
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

    def _number_of(self, link: Subscription, epoch: int) -> int:
        for number, held in self._connections.items():
            if held == (link, epoch):
                return number
        return 0

    def _perform(self, effects: Sequence[HubEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendLine):
                for number in effect.subscribers:
                    self._send(number, effect.line.message)  # type: ignore[arg-type]
            elif isinstance(effect, RequestConfirmation):
                self._ticket = effect.ticket
                self._start_confirming()
            elif isinstance(effect, Close):
                held = self._connections.pop(effect.subscriber, None)
                if held is not None:
                    self.reset(*held)

    def _send(self, number: int, message: ControlToDaemon) -> None:
        held = self._connections.get(number)
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

    def _watch_contact(self) -> None:
        self._hub.on_quorum_contact(self._in_contact(), self._process.now)
        self._process.call_later(CONTACT_SECONDS, self._watch_contact)
