"""An emulated daemon: local to a back end, or an edge for external callers.

Counterpart of :mod:`finchshed.daemon.daemon`, limited to endpoints declared in the configuration.
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
from finchshed.emulator.daemons.incoming import IncomingRequests, cancel_nothing
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
"""One-way delay over the loopback interface."""


class DaemonDirectory(Protocol):
    """Lookup of the daemons of a run by name."""

    def daemon_of(self, endpoint: str) -> "SimulatedDaemon":
        """Return the daemon local to the back end of an endpoint."""
        ...

    def find_daemon(self, name: str) -> "SimulatedDaemon | None":
        """Return the back end's or edge daemon with this name, or None."""
        ...


class SimulatedDaemon(CallingProcess):
    """An emulated daemon process.

    Parameters
    ----------
    back_end
        The back end that the daemon serves, or None for an edge.
    connect
        Returns the connection to the control plane for the current generation.
    """

    def __init__(
        self,
        simulation: Simulation,
        site: Site,
        directory: DaemonDirectory,
        connect: Callable[["SimulatedDaemon"], ControlConnection],
        back_end: BackEnd | None,
    ) -> None:
        super().__init__(simulation, site)
        self._directory = directory
        self._connect = connect
        self.back_end = back_end
        self.stopping = False
        self._endpoints: tuple[Endpoint, ...] = ()
        self._begin_generation()

    def _begin_generation(self) -> None:
        streams = self.simulation.streams
        self.random: random.Random = streams.python(f"daemon/{self.name}/{self.generation}")
        self.table = RoutingTable(self.site.zone, REGION, self.random, owner=self.name)
        self.accounts = RetryAccounts()
        self._links: dict[str, DaemonLink] = {}
        self._accepted: list[SimulatedAcceptedLink] = []
        self._link_opened_at: dict[str, float] = {}
        self._hinted_endpoints: set[str] = set()
        self._started_at = self.now
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

    def start_follower(self) -> None:
        """Start the configuration follower, if there is one."""
        if self._connection.follower is not None:
            self._connection.follower.start()

    def take_effect(self, current: Configuration) -> None:
        """Put a configuration from the follower into force."""
        policy = current.resources.get(POLICY_KEY)
        self._digest = digest_of_configuration(current)
        self.configure(
            current.endpoints(),
            policy if isinstance(policy, Policy) else Policy(),
            current.revision,
        )

    def start_serving(self) -> None:
        """Start accepting calls."""
        self.is_serving = True
        if self.callee is not None:
            self.callee.may_serve = True
        self._record_in_force()

    def _record_in_force(self) -> None:
        if self.is_serving:
            self.simulation.recorder.record(
                RevisionInForce(self.now, self.name, self.held_revision, self._digest)
            )

    def configure(self, endpoints: Iterable[Endpoint], policy: Policy, revision: int) -> None:
        """Put a configuration into force."""
        self._endpoints = tuple(endpoints)
        self._incoming.set_policy(policy)
        self.held_revision = revision
        self._record_in_force()
        self.table.replace(self._endpoints, self.now)

    def call(self, request: SimulatedRequest, done: Done) -> Cancel:
        """Handle an HTTP request from an external caller or the local back end."""
        if not self.up:
            done(Refused(RefusalReason.CONNECT_FAILED, 0.1, "connection refused"))
            return cancel_nothing
        cancels: list[Cancel] = []

        def forward() -> None:
            cancels.append(self._forward(request, done))

        self.call_later(LOCAL_DELAY_SECONDS, forward)
        return lambda: self.dispatch(self.generation, cancels[0]) if cancels else None

    def _forward(self, request: SimulatedRequest, done: Done) -> Cancel:
        generation = self.generation

        def answer(outcome: Outcome) -> None:
            self.simulation.clock.call_later(
                LOCAL_DELAY_SECONDS, self._answer, generation, done, outcome
            )

        if not self.is_serving:
            answer(Refused(RefusalReason.NO_CONFIGURATION, retry_after(0.0, self.random)))
            return cancel_nothing
        return self._incoming.handle(request, answer)

    def _answer(self, generation: int, done: Done, outcome: Outcome) -> None:
        if generation == self.generation:
            done(outcome)

    def link_to(self, endpoint: str) -> DaemonLink:
        """Return the link to an endpoint, creating it if needed."""
        link = self._links.get(endpoint)
        if link is None:
            target = self._directory.daemon_of(endpoint)
            link = DaemonLink(self, self, endpoint, target, target.accept)
            self._links[endpoint] = link
        return link

    def link_opened(self, endpoint: str, incarnation: str) -> None:
        """Handle an opened link."""
        self._link_opened_at[endpoint] = self.now
        self.table.on_link_up(endpoint, incarnation, self.now)

    def link_broken(self, endpoint: str) -> None:
        """Handle a link that broke or couldn't be opened."""
        self.table.on_link_down(endpoint, self.now)

    def load_reported(self, endpoint: str, load: LoadReport) -> None:
        """Handle a load report received with a heartbeat."""
        self.table.on_report(endpoint, load, self.now)

    def accept(self, link: DaemonLink, epoch: str) -> None:
        """Accept a connection from another daemon."""
        accepted = SimulatedAcceptedLink(self, self, link, epoch)
        self._accepted = [held for held in self._accepted if held.open]
        self._accepted.append(accepted)
        self.send(link.process, link.on_accepted, epoch, accepted, self.incarnation())

    def handle_call(self, link: SimulatedAcceptedLink, message: CallMessage) -> None:
        """Handle an incoming call."""
        if self.callee is not None:
            self.callee.handle_call(link, message)

    def cancel_call(self, link: SimulatedAcceptedLink, call: int) -> None:
        """Cancel a call whose caller cancelled it or disconnected."""
        if self.callee is not None:
            self.callee.cancel_call(link, call)

    def load_report(self) -> LoadReport:
        """Return the load report for callers."""
        return LoadReport() if self.callee is None else self.callee.load_report()

    def incarnation(self) -> str:
        """Return the identity of the current incarnation of this daemon and its back end."""
        started = 0.0 if self.back_end is None else self.back_end.started_at
        return f"{self.generation}/{started}"

    def revision(self) -> int:
        """Return the revision in force."""
        return self.held_revision

    def revision_seen(self, node: str, revision: int) -> None:
        """Handle the revision received from a peer."""
        if self._connection.follower is not None:
            self._connection.follower.on_peer_revision(node, revision)

    def fetch_from_peer(self, peer: str, revision: int, done: Callable[[Delta], None]) -> None:
        """Request the changes after ``revision`` from a peer."""
        target = self._directory.find_daemon(peer)
        if target is not None:
            self.send(target, target.answer_fetch, self, self.generation, revision, done)

    def answer_fetch(
        self, peer: "SimulatedDaemon", generation: int, revision: int, done: Callable[[Delta], None]
    ) -> None:
        """Send the changes after ``revision`` to a peer."""
        if self._connection.follower is not None:
            delta = self._connection.follower.follower.answer_fetch(revision)
            self.send(peer, done, delta, generation=generation)

    def connect_to_peers(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Open links to peers, to learn their revisions."""
        for endpoint in endpoints:
            self.link_to(endpoint.name).open()

    def hints(self, hints: Hints) -> None:
        """Handle the platform's list of leaving machines."""
        hinted = {hint.endpoint for hint in hints.leaving}
        for name in self._hinted_endpoints - hinted:
            self.table.set_drain_source(name, DrainSource.PLATFORM, False, self.now)
        self._hinted_endpoints = hinted
        for hint in hints.leaving:
            if hint.endpoint == self.name:
                if hints.applies_to(hint, self.now - self._started_at) and self.callee is not None:
                    self.callee.drain()
                continue
            link_opened_at = self._link_opened_at.get(hint.endpoint)
            if link_opened_at is not None and hints.applies_to(hint, self.now - link_opened_at):
                self.table.set_drain_source(hint.endpoint, DrainSource.PLATFORM, True, self.now)

    @property
    def in_progress(self) -> int:
        """Number of calls in progress, incoming and outgoing."""
        serving = 0 if self.callee is None else self.callee.in_progress
        return serving + self._incoming.in_progress

    def announce_draining(self) -> None:
        """Notify every caller that no new calls are accepted."""
        for link in self._accepted:
            link.send_draining()

    def draining_seen(self, endpoint: str) -> None:
        """Handle an endpoint's notice that it accepts no new calls."""
        self.table.mark_draining(endpoint, self.now)

    def crash(self) -> None:
        """Crash: reset all links and close the connections to the back end."""
        links = list(self._links.values())
        accepted = [link for link in self._accepted if link.open]
        callee = self.callee
        self.stop()
        for link in links:
            link.send_reset()
        for accepted_link in accepted:
            accepted_link.send_reset()
        if callee is not None:
            callee.abort()

    def restart(self) -> None:
        """Begin a new generation with only the state on disk."""
        self.start()
        self._begin_generation()
