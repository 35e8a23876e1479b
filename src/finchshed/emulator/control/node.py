"""One emulated control machine: log, state machine, hub and the ledger's service."""

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
from finchshed.emulator.control.hub_shell import HubShell, Subscription
from finchshed.emulator.control.log_host import LogHost, OnResult
from finchshed.emulator.control.proposals import Proposals
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.network import Site
from finchshed.emulator.simulation import Simulation
from finchshed.storage.simulated_disk import SimulatedDisk

REQUEST_SECONDS: Final = 5.0
"""Longest time for one request over all its tries, as in the settings of a control node."""

TRANSFER_SECONDS: Final = 2.0
"""Longest time a stopping leader waits for its successor, seconds; chosen, not measured."""
TRANSFER_POLL_SECONDS: Final = 0.05
"""Seconds between looks for the successor; chosen, not measured."""


class SimulatedControlNode(Process):
    """A control node over its lives.

    Parameters
    ----------
    voters
        The voters the group is formed of.
    peers
        Nodes of the group by address; filled once all are made.
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
            post=self,
            rng=rng,
            may_form=self._may_form,
        )
        # As an operator does it: only the first start may form the group.
        self._may_form = False
        self.proposals = Proposals(self, self.host, self, rng)
        self.hub = HubShell(
            self,
            self.machine,
            lambda done: self.proposals.read_barrier(REQUEST_SECONDS, done),
            lambda: self.host.node.leader is not None,
        )
        self.hub.set_alternatives(tuple(member.address for member in self._voters))

    def begin(self) -> None:
        """Take part in the group and serve daemons."""
        self.host.start()
        self.hub.start()

    def crash(self) -> None:
        """Die at once; the disk forgets what was not synced."""
        self.host.crash()
        self.stop()
        self.disk.lose_power()
        self.hub.reset_all()

    def restart(self, wipe_disk: bool = False) -> None:
        """Begin a new generation with what is on the disk."""
        if wipe_disk:
            self.disk.lose_data()
        self.start()
        self._begin_generation()
        self.begin()

    def stop_planned(self, seconds: float) -> None:
        """Hand leadership over, end, and start again ``seconds`` later."""
        if self.stopping:
            return
        self.stopping = True
        self.host.transfer_leadership()
        self.call_later(TRANSFER_POLL_SECONDS, self._stop_once_follower, self.now, seconds)

    def _on_committed(self, committed: CommittedRevision) -> None:
        self.hub.on_committed(committed)

    def _on_restored(self) -> None:
        self.hub.on_restored()

    def _stop_once_follower(self, since: float, seconds: float) -> None:
        if self.host.is_leader and self.now - since < TRANSFER_SECONDS:
            self.call_later(TRANSFER_POLL_SECONDS, self._stop_once_follower, since, seconds)
            return
        self.crash()
        self.simulation.clock.call_later(seconds, self._start_again)

    def _start_again(self) -> None:
        if not self.up:
            self.restart()

    # Messages of other control nodes.

    def send_envelope(self, source: Process, address: str, envelope: Envelope) -> None:
        """Send a message of the replicated log."""
        target = self._peers[address]
        source.send(target, target.take_envelope, envelope)

    def take_envelope(self, envelope: Envelope) -> None:
        """Take a message of the replicated log."""
        self.host.receive(envelope)

    def forward(self, address: str, request: int, command: Command) -> None:
        """Send a command to the leader."""
        target = self._peers[address]
        self.send(target, target.take_forwarded, self, self.generation, request, command)

    def take_forwarded(
        self, sender: "SimulatedControlNode", generation: int, request: int, command: Command
    ) -> None:
        """Take a command of another node, as the leader."""

        def answer(result: CommandResult | None) -> None:
            self.send(sender, sender.take_reply, request, result, generation=generation)

        if self.host.is_leader:
            self.host.propose(command, answer)
        else:
            answer(None)

    def take_reply(self, request: int, result: CommandResult | None) -> None:
        """Take the leader's answer."""
        self.proposals.take_reply(request, result)

    # Requests of daemons.

    def take_subscribe(self, link: Subscription, epoch: int, message: Subscribe) -> None:
        """Take a daemon's first message."""
        self.hub.subscribe(link, epoch, message)

    def take_in_force(self, link: Subscription, epoch: int, revision: int) -> None:
        """Take a daemon's report."""
        self.hub.in_force(link, epoch, revision)

    def take_fetch(self, link: Subscription, epoch: int, revision: int) -> None:
        """Take a daemon's fetch."""
        self.hub.fetch(link, epoch, revision)

    def take_closed(self, link: Subscription, epoch: int) -> None:
        """Take the end of a daemon's connection."""
        self.hub.closed(link, epoch)

    def ledger_begin(
        self, link: Subscription, epoch: int, request: int, key: str, attempt: str
    ) -> None:
        """Ask the ledger's leave to run a request."""

        def answered(result: CommandResult | None) -> None:
            if result is None:
                cancel = CancelRequest(key, attempt)
                self.proposals.propose(cancel, REQUEST_SECONDS, _ignore)
            self._answer(link, epoch, request, result)

        self.proposals.propose(BeginRequest(key, attempt), REQUEST_SECONDS, answered)

    def ledger_cancel(
        self, link: Subscription, epoch: int, request: int, key: str, attempt: str
    ) -> None:
        """Free the key of an attempt that was never sent."""
        self.proposals.propose(
            CancelRequest(key, attempt), REQUEST_SECONDS, self._answering(link, epoch, request)
        )

    def ledger_complete(
        self, link: Subscription, epoch: int, request: int, command: CompleteRequest
    ) -> None:
        """Record an attempt's whole answer."""
        self.proposals.propose(command, REQUEST_SECONDS, self._answering(link, epoch, request))

    def _answering(self, link: Subscription, epoch: int, request: int) -> OnResult:
        return lambda result: self._answer(link, epoch, request, result)

    def _answer(
        self, link: Subscription, epoch: int, request: int, result: CommandResult | None
    ) -> None:
        self.send(
            link.process, link.on_ledger_answer, epoch, request, result, generation=link.generation
        )


def _ignore(_: CommandResult | None) -> None:
    """Take a result that nobody waits for."""
