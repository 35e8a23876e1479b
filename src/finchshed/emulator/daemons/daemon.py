"""One emulated daemon: beside a back end, or an edge in front of outside callers.

Owns the links, the routing table and the configuration of one life of the process. Counterpart of
:mod:`finchshed.daemon.daemon`, for declared endpoints alone.
"""

import random
from collections.abc import Callable, Iterable
from typing import Final, Protocol

from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_thresholds import PathThresholds
from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.configuration.resources import Endpoint, Policy
from finchshed.control.state.machine import POLICY_KEY
from finchshed.distribution.messages import Delta, Hints
from finchshed.distribution.snapshot import Configuration
from finchshed.emulator.backend import BackEnd
from finchshed.emulator.daemons.accepted_link import CallMessage, SimulatedAcceptedLink
from finchshed.emulator.daemons.callee import SimulatedCallee
from finchshed.emulator.daemons.configuration_digest import digest_of_configuration
from finchshed.emulator.daemons.control_connection import ControlConnection
from finchshed.emulator.daemons.incoming import IncomingRequests, nothing
from finchshed.emulator.daemons.link import DaemonLink
from finchshed.emulator.daemons.outgoing import CallingProcess
from finchshed.emulator.network import Site
from finchshed.emulator.request import Cancel, Done, SimulatedRequest
from finchshed.emulator.simulation import Simulation
from finchshed.proof.history import RevisionInForce
from finchshed.retry.account import RetryAccounts
from finchshed.retry.policy import retry_after
from finchshed.routing.endpoint import DrainSource
from finchshed.routing.table import RoutingTable

REGION: Final = "region-1"
LOCAL_DELAY_SECONDS: Final = 0.0002
"""Seconds to the daemon or back over the loopback; chosen, not measured."""


class DaemonsByName(Protocol):
    """Where a daemon finds the processes of other daemons."""

    def daemon_of(self, endpoint: str) -> "SimulatedDaemon":
        """Return the daemon beside an endpoint."""
        ...

    def node_called(self, name: str) -> "SimulatedDaemon | None":
        """Return the daemon of this name: an endpoint's or an edge."""
        ...


class SimulatedDaemon(CallingProcess):
    """One daemon process.

    Parameters
    ----------
    back_end
        The back end beside it, or None for an edge.
    connect
        Returns the way to control for the present life of the daemon.
    """

    def __init__(
        self,
        simulation: Simulation,
        site: Site,
        directory: DaemonsByName,
        connect: Callable[["SimulatedDaemon"], ControlConnection],
        back_end: BackEnd | None,
    ) -> None:
        super().__init__(simulation, site)
        self._directory = directory
        self._connect = connect
        self.back_end = back_end
        self.stopping = False
        self._endpoints: tuple[Endpoint, ...] = ()
        self._begin_life()

    def _begin_life(self) -> None:
        streams = self.simulation.streams
        self.random: random.Random = streams.python(f"daemon/{self.name}/{self.life}")
        self.table = RoutingTable(self.site.zone, REGION, self.random, owner=self.name)
        self.accounts = RetryAccounts()
        self._links: dict[str, DaemonLink] = {}
        self._accepted: list[SimulatedAcceptedLink] = []
        self._linked_at: dict[str, float] = {}
        self._listed: set[str] = set()
        self._began_at = self.now
        self.stopping = False
        self.is_serving = False
        self.held_revision = 0
        self._digest = ""
        self._connection = self._connect(self)
        self.callee: SimulatedCallee | None = None
        if self.back_end is not None:
            self.callee = SimulatedCallee(
                self,
                self.back_end,
                ledger=self._connection.ledger,
                accounts=self.accounts,
                paths=PathThresholds(self.table.path_threshold),
                rng=self.random,
                revision=self.revision,
            )
        self._incoming = IncomingRequests(self, self.table, self.accounts, self.callee)

    def begin(self) -> None:
        """Follow the configuration, where this daemon does so itself."""
        if self._connection.follower is not None:
            self._connection.follower.start()

    def take_effect(self, current: Configuration) -> None:
        """Act on a configuration that the follower holds."""
        policy = current.resources.get(POLICY_KEY)
        self._digest = digest_of_configuration(current)
        self.configure(
            current.endpoints(),
            policy if isinstance(policy, Policy) else Policy(),
            current.revision,
        )

    def start_serving(self) -> None:
        """Take calls from now on."""
        self.is_serving = True
        if self.callee is not None:
            self.callee.may_serve = True
        self._note_in_force()

    def _note_in_force(self) -> None:
        if self.is_serving:
            self.simulation.recorder.note(
                RevisionInForce(self.now, self.name, self.held_revision, self._digest)
            )

    def configure(self, endpoints: Iterable[Endpoint], policy: Policy, revision: int) -> None:
        """Act on a configuration."""
        self._endpoints = tuple(endpoints)
        self._incoming.set_policy(policy)
        self.held_revision = revision
        self._note_in_force()
        self.table.replace(self._endpoints, self.now)

    def call(self, request: SimulatedRequest, done: Done) -> Cancel:
        """Take a request over HTTP from an outside caller or the back end beside it."""
        if not self.up:
            done(Refused(RefusalReason.CONNECT_FAILED, 0.1, "connection refused"))
            return nothing
        holder: list[Cancel] = []

        def take() -> None:
            holder.append(self._take(request, done))

        self.call_later(LOCAL_DELAY_SECONDS, take)
        return lambda: self.dispatch(self.life, holder[0]) if holder else None

    def _take(self, request: SimulatedRequest, done: Done) -> Cancel:
        life = self.life

        def answer(outcome: Outcome) -> None:
            self.simulation.clock.call_later(LOCAL_DELAY_SECONDS, self._answer, life, done, outcome)

        if not self.is_serving:
            answer(Refused(RefusalReason.NO_CONFIGURATION, retry_after(0.0, self.random)))
            return nothing
        return self._incoming.take(request, answer)

    def _answer(self, life: int, done: Done, outcome: Outcome) -> None:
        if life == self.life:
            done(outcome)

    def link_to(self, endpoint: str) -> DaemonLink:
        """Return the link to an endpoint, made if there is none."""
        link = self._links.get(endpoint)
        if link is None:
            target = self._directory.daemon_of(endpoint)
            link = DaemonLink(self, self, endpoint, target, target.accept)
            self._links[endpoint] = link
        return link

    def link_opened(self, endpoint: str, incarnation: str) -> None:
        """Take note that a link is open."""
        self._linked_at[endpoint] = self.now
        self.table.on_link_up(endpoint, incarnation, self.now)

    def link_broken(self, endpoint: str) -> None:
        """Take note that a link broke or can't be opened."""
        self.table.on_link_down(endpoint, self.now)

    def load_reported(self, endpoint: str, load: LoadReport) -> None:
        """Take a load report that came with a heartbeat."""
        self.table.on_report(endpoint, load, self.now)

    def accept(self, link: DaemonLink, epoch: str) -> None:
        """Take a connection of another daemon."""
        accepted = SimulatedAcceptedLink(self, self, link, epoch)
        self._accepted = [held for held in self._accepted if held.open]
        self._accepted.append(accepted)
        self.send(link.process, link.on_accepted, epoch, accepted, self.incarnation())

    def take_call(self, link: SimulatedAcceptedLink, message: CallMessage) -> None:
        """Take a call."""
        if self.callee is not None:
            self.callee.take(link, message)

    def give_up_call(self, link: SimulatedAcceptedLink, call: int) -> None:
        """Drop a call whose caller has given up."""
        if self.callee is not None:
            self.callee.give_up(link, call)

    def load_report(self) -> LoadReport:
        """Return the load as callers are told."""
        return LoadReport() if self.callee is None else self.callee.load_report()

    def incarnation(self) -> str:
        """Return the identity of the back end's and the process's present life."""
        started = 0.0 if self.back_end is None else self.back_end.started_at
        return f"{self.life}/{started}"

    def revision(self) -> int:
        """Return the revision in force."""
        return self.held_revision

    def revision_seen(self, node: str, revision: int) -> None:
        """Take note that a peer holds this revision."""
        if self._connection.follower is not None:
            self._connection.follower.on_peer_revision(node, revision)

    def fetch_from_peer(self, peer: str, revision: int, done: Callable[[Delta], None]) -> None:
        """Ask a peer for what follows ``revision``."""
        target = self._directory.node_called(peer)
        if target is not None:
            self.send(target, target.answer_fetch, self, self.life, revision, done)

    def answer_fetch(
        self, peer: "SimulatedDaemon", life: int, revision: int, done: Callable[[Delta], None]
    ) -> None:
        """Send a peer what follows ``revision``."""
        if self._connection.follower is not None:
            delta = self._connection.follower.follower.answer_fetch(revision)
            self.send(peer, done, delta, life=life)

    def connect_to_peers(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Open links to peers, to learn their revisions."""
        for endpoint in endpoints:
            self.link_to(endpoint.name).open()

    def hints(self, hints: Hints) -> None:
        """Take the platform's list of leaving machines."""
        listed = {hint.endpoint for hint in hints.leaving}
        for name in self._listed - listed:
            self.table.set_drain_source(name, DrainSource.PLATFORM, False, self.now)
        self._listed = listed
        for hint in hints.leaving:
            if hint.endpoint == self.name:
                if hints.applies_to(hint, self.now - self._began_at) and self.callee is not None:
                    self.callee.drain()
                continue
            linked_at = self._linked_at.get(hint.endpoint)
            if linked_at is not None and hints.applies_to(hint, self.now - linked_at):
                self.table.set_drain_source(hint.endpoint, DrainSource.PLATFORM, True, self.now)

    @property
    def in_progress(self) -> int:
        """Calls on their way through this daemon."""
        serving = 0 if self.callee is None else self.callee.in_progress
        return serving + self._incoming.in_progress

    def announce_draining(self) -> None:
        """Tell every caller that no new calls are taken."""
        for link in self._accepted:
            link.tell_draining()

    def draining_seen(self, endpoint: str) -> None:
        """Take note that an endpoint takes no new calls."""
        self.table.mark_draining(endpoint, self.now)

    def crash(self) -> None:
        """Die at once: connections are reset, the back end sees its connections close."""
        links = list(self._links.values())
        accepted = [link for link in self._accepted if link.open]
        callee = self.callee
        self.stop()
        for link in links:
            link.peer_reset()
        for accepted_link in accepted:
            accepted_link.caller_reset()
        if callee is not None:
            callee.abort()

    def restart(self) -> None:
        """Begin a new life, with nothing but what is on disk."""
        self.start()
        self._begin_life()
