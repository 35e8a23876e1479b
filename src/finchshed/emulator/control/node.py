"""An emulated control node: replicated log, state machine, hub and ledger service."""

from typing import Final

from finchshed.configuration.store import CommittedRevision
from finchshed.consensus.membership import InitialMember
from finchshed.consensus.messages import Envelope
from finchshed.control.state.commands import (
    BeginRequest,
    CancelRequest,
    Command,
    CommandResult,
    CompleteRequest,
)
from finchshed.control.state.machine import ControlStateMachine
from finchshed.distribution.messages import Subscribe
from finchshed.emulator.control.hub_runner import HubRunner, Subscription
from finchshed.emulator.control.log_host import LogHost, OnResult
from finchshed.emulator.control.proposals import Proposals
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.network import Site
from finchshed.emulator.simulation import Simulation
from finchshed.storage.simulated_disk import SimulatedDisk

REQUEST_TIMEOUT_SECONDS: Final = 5.0
"""Timeout of a request including retries; the default in a control node's settings."""

TRANSFER_TIMEOUT_SECONDS: Final = 2.0
"""How long a stopping leader waits for its successor."""
TRANSFER_POLL_SECONDS: Final = 0.05
"""Interval between checks for the successor."""


class SimulatedControlNode(Process):
    """A control node, over its successive generations.

    Parameters
    ----------
    voters
        The initial voters of the group.
    peers
        Nodes of the group by address; complete once all nodes have been created.
    """

    def __init__(
        self,
        simulation: Simulation,
        site: Site,
        voters: tuple[InitialMember, ...],
        peers: dict[str, "SimulatedControlNode"],
    ) -> None:
        super().__init__(simulation, site)
        self._voters = voters
        self._peers = peers
        self.address = next(member.address for member in voters if member.name == site.node)
        self.disk = SimulatedDisk(simulation.streams.python(f"disk/{site.node}"))
        self.stopping = False
        self._may_form = True
        self._begin_generation()

    def _begin_generation(self) -> None:
        rng = self.simulation.streams.python(f"control/{self.name}/{self.generation}")
        self.stopping = False
        self.machine = ControlStateMachine(self._on_committed, self._on_restored)
        self.host = LogHost(
            self,
            self.address,
            self._voters,
            disk=self.disk,
            machine=self.machine,
            transport=self,
            rng=rng,
            may_form=self._may_form,
        )
        # Only the first start may form the group; a later one on an empty disk must join it.
        self._may_form = False
        self.proposals = Proposals(self, self.host, self, rng)
        self.hub = HubRunner(
            self,
            self.machine,
            lambda done: self.proposals.read_barrier(REQUEST_TIMEOUT_SECONDS, done),
            lambda: self.host.node.leader is not None,
        )
        self.hub.set_alternatives(tuple(member.address for member in self._voters))

    def begin(self) -> None:
        """Join the group and serve daemons."""
        self.host.start()
        self.hub.start()

    def crash(self) -> None:
        """Crash, losing writes that were not synced."""
        self.host.crash()
        self.stop()
        self.disk.lose_power()
        self.hub.reset_all()

    def restart(self, wipe_disk: bool = False) -> None:
        """Begin a new generation from the disk, which ``wipe_disk`` empties first."""
        if wipe_disk:
            self.disk.lose_data()
        self.start()
        self._begin_generation()
        self.begin()

    def stop_planned(self, seconds: float) -> None:
        """Transfer leadership, stop, and restart after ``seconds``."""
        if self.stopping:
            return
        self.stopping = True
        self.host.transfer_leadership()
        self.call_later(TRANSFER_POLL_SECONDS, self._stop_after_transfer, self.now, seconds)

    def _on_committed(self, committed: CommittedRevision) -> None:
        self.hub.on_committed(committed)

    def _on_restored(self) -> None:
        self.hub.on_restored()

    def _stop_after_transfer(self, since: float, seconds: float) -> None:
        if self.host.is_leader and self.now - since < TRANSFER_TIMEOUT_SECONDS:
            self.call_later(TRANSFER_POLL_SECONDS, self._stop_after_transfer, since, seconds)
            return
        self.crash()
        self.simulation.clock.call_later(seconds, self._restart_if_down)

    def _restart_if_down(self) -> None:
        if not self.up:
            self.restart()

    # Messages between control nodes.

    def send_envelope(self, source: Process, address: str, envelope: Envelope) -> None:
        """Send a message of the replicated log to the node at ``address``."""
        target = self._peers[address]
        source.send(target, target.on_envelope, envelope)

    def on_envelope(self, envelope: Envelope) -> None:
        """Handle a message of the replicated log."""
        self.host.receive(envelope)

    def forward(self, address: str, request: int, command: Command) -> None:
        """Forward a command to the leader at ``address``."""
        target = self._peers[address]
        self.send(target, target.on_forwarded, self, self.generation, request, command)

    def on_forwarded(
        self, sender: "SimulatedControlNode", generation: int, request: int, command: Command
    ) -> None:
        """Propose a command forwarded by another node, or reply None if not the leader."""

        def answer(result: CommandResult | None) -> None:
            self.send(sender, sender.on_reply, request, result, generation=generation)

        if self.host.is_leader:
            self.host.propose(command, answer)
        else:
            answer(None)

    def on_reply(self, request: int, result: CommandResult | None) -> None:
        """Handle the leader's reply to a forwarded command."""
        self.proposals.on_reply(request, result)

    # Requests from daemons.

    def on_subscribe(self, link: Subscription, epoch: int, message: Subscribe) -> None:
        """Handle a daemon's subscription."""
        self.hub.subscribe(link, epoch, message)

    def on_in_force(self, link: Subscription, epoch: int, revision: int) -> None:
        """Handle a daemon's report of its revision in force."""
        self.hub.in_force(link, epoch, revision)

    def on_fetch(self, link: Subscription, epoch: int, revision: int) -> None:
        """Handle a daemon's request for the changes after ``revision``."""
        self.hub.fetch(link, epoch, revision)

    def on_closed(self, link: Subscription, epoch: int) -> None:
        """Handle a connection closed by its daemon."""
        self.hub.closed(link, epoch)

    def ledger_begin(
        self, link: Subscription, epoch: int, request: int, key: str, attempt: str
    ) -> None:
        """Request a ledger grant; cancels it if the outcome is unknown."""

        def answered(result: CommandResult | None) -> None:
            if result is None:
                cancel = CancelRequest(key, attempt)
                self.proposals.propose(cancel, REQUEST_TIMEOUT_SECONDS, _ignore)
            self._answer(link, epoch, request, result)

        self.proposals.propose(BeginRequest(key, attempt), REQUEST_TIMEOUT_SECONDS, answered)

    def ledger_cancel(
        self, link: Subscription, epoch: int, request: int, key: str, attempt: str
    ) -> None:
        """Release the grant of an attempt that was never sent."""
        self.proposals.propose(
            CancelRequest(key, attempt),
            REQUEST_TIMEOUT_SECONDS,
            self._answer_callback(link, epoch, request),
        )

    def ledger_complete(
        self, link: Subscription, epoch: int, request: int, command: CompleteRequest
    ) -> None:
        """Record the complete answer of an attempt."""
        self.proposals.propose(
            command, REQUEST_TIMEOUT_SECONDS, self._answer_callback(link, epoch, request)
        )

    def _answer_callback(self, link: Subscription, epoch: int, request: int) -> OnResult:
        return lambda result: self._answer(link, epoch, request, result)

    def _answer(
        self, link: Subscription, epoch: int, request: int, result: CommandResult | None
    ) -> None:
        self.send(
            link.process, link.on_ledger_answer, epoch, request, result, generation=link.generation
        )


def _ignore(_: CommandResult | None) -> None:
    """Ignore the result of a cancellation."""
