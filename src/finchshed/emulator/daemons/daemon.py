"""One emulated daemon: beside a back end, or an edge in front of outside callers."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from finchshed.admission.fairness import FairPositions
from finchshed.admission.load_report import LoadReport
from finchshed.admission.paths import PathThresholds
from finchshed.common.context import CallContext
from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.common.results import CallResult, result_of
from finchshed.configuration.resources import Endpoint, Policy
from finchshed.control.state.machine import POLICY_KEY
from finchshed.distribution.messages import Delta, Hints
from finchshed.distribution.snapshot import Configuration
from finchshed.emulator.backend import BackEnd
from finchshed.emulator.daemons.accepted_link import AcceptedLink, CallMessage
from finchshed.emulator.daemons.callee import Callee
from finchshed.emulator.daemons.configuration_digest import digest_of_configuration
from finchshed.emulator.daemons.control_plane import ControlPlane
from finchshed.emulator.daemons.directory import Directory
from finchshed.emulator.daemons.link import DaemonLink
from finchshed.emulator.daemons.outgoing import CallingProcess, OnFinish, OutgoingCall
from finchshed.emulator.daemons.pins import SessionPins
from finchshed.emulator.network import Site
from finchshed.emulator.request import Cancel, Done, Request
from finchshed.emulator.simulation import Simulation
from finchshed.proof.history import RevisionInForce
from finchshed.retry.account import RetryAccounts
from finchshed.retry.bucket import RetryBucket
from finchshed.retry.policy import retry_after
from finchshed.routing.caller import CallerLogic
from finchshed.routing.endpoint import DrainSign
from finchshed.routing.table import RoutingTable

REGION: Final = "region-1"
LOCAL_DELAY_SECONDS: Final = 0.0002


@dataclass(slots=True, eq=False)
class _Joined:
    """A root request in progress, and the repeats that joined it."""

    outgoing: OutgoingCall
    waiting: dict[str, Done] = field(default_factory=dict)


class Daemon(CallingProcess):
    """One daemon process.

    Parameters
    ----------
    back_end
        The back end beside it, or None for an edge.
    """

    def __init__(
        self,
        simulation: Simulation,
        site: Site,
        directory: Directory,
        control: ControlPlane,
        back_end: BackEnd | None,
    ) -> None:
        super().__init__(simulation, site)
        self._directory = directory
        self._control = control
        self.back_end = back_end
        self.stopping = False
        self._endpoints: tuple[Endpoint, ...] = ()
        self._policy = Policy()
        self._begin_life()

    def _begin_life(self) -> None:
        streams = self.simulation.streams
        self.random: random.Random = streams.python(f"daemon/{self.name}/{self.life}")
        self.table = RoutingTable(self.site.zone, REGION, self.random, owner=self.name)
        self.accounts = RetryAccounts()
        self._links: dict[str, DaemonLink] = {}
        self._accepted: list[AcceptedLink] = []
        self._buckets: dict[str, RetryBucket] = {}
        self._joined: dict[str, _Joined] = {}
        self._pins = SessionPins()
        self._fair = FairPositions(self.now)
        self._linked_at: dict[str, float] = {}
        self._listed: set[str] = set()
        self._began_at = self.now
        self._in_progress = 0
        self.stopping = False
        self.is_serving = False
        self.held_revision = 0
        self._digest = ""
        self._connection = self._control.connect(self)
        self.callee: Callee | None = None
        if self.back_end is not None:
            self.callee = Callee(
                self,
                self.back_end,
                ledger=self._connection.ledger,
                accounts=self.accounts,
                paths=PathThresholds(self.table.path_threshold),
                rng=self.random,
                revision=self.revision,
            )

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
        if policy.retry_ratio != self._policy.retry_ratio:
            self._buckets.clear()
        self._policy = policy
        self.held_revision = revision
        self._note_in_force()
        self.table.replace(self._endpoints, self.now)

    def call(self, request: Request, done: Done) -> Cancel:
        """Take a request over HTTP from an outside caller or the back end beside it."""
        if not self.up:
            done(Refused(RefusalReason.CONNECT_FAILED, 0.1, "connection refused"))
            return _nothing
        holder: list[Cancel] = []

        def take() -> None:
            holder.append(self._take(request, done))

        self.call_later(LOCAL_DELAY_SECONDS, take)
        return lambda: self.dispatch(self.life, holder[0]) if holder else None

    def _take(self, request: Request, done: Done) -> Cancel:
        life = self.life

        def answer(outcome: Outcome) -> None:
            self.simulation.clock.call_later(LOCAL_DELAY_SECONDS, self._answer, life, done, outcome)

        if not self.is_serving:
            answer(Refused(RefusalReason.NO_CONFIGURATION, retry_after(0.0, self.random)))
            return _nothing
        if request.parent:
            return self._call_on(request, answer)
        held = self._joined.get(request.root)
        if held is not None:
            held.waiting[request.call] = answer
        else:
            held = self._start_root(request, answer)
        joined = held
        return lambda: self._leave(joined, request.call)

    def _answer(self, life: int, done: Done, outcome: Outcome) -> None:
        if life == self.life:
            done(outcome)

    def _start_root(self, request: Request, answer: Done) -> _Joined:
        context = CallContext(
            request.root,
            request.importance,
            request.deadline - self.now,
            self._policy.retry_budget,
            0,
            request.caller,
            request.session,
            request.key,
            self._fair.place(request.caller, request.importance, request.root, self.now),
        )

        def finished(outcome: Outcome, _spare: int) -> None:
            self._in_progress -= 1
            self._joined.pop(request.root, None)
            self._pins.answered(request, joined.outgoing.endpoint, outcome, self.now)
            waiting = list(joined.waiting.values())
            joined.waiting.clear()
            for waiter in waiting:
                waiter(outcome)

        joined = _Joined(self._outgoing(request, context, finished))
        joined.waiting[request.call] = answer
        self._joined[request.root] = joined
        self._in_progress += 1
        joined.outgoing.begin()
        self._pins.sent(request, joined.outgoing.endpoint, self.now)
        return joined

    def _leave(self, joined: _Joined, call: str) -> None:
        if joined.waiting.pop(call, None) is not None and not joined.waiting:
            joined.outgoing.cancel()

    def _call_on(self, request: Request, answer: Done) -> Cancel:
        deadline = None if self.callee is None else self.callee.deadline_of(request.account)
        served = None if self.callee is None else self.callee.ranked_by(request.account)
        if self.callee is None or deadline is None or served is None:
            answer(Refused(RefusalReason.CANCELLED, retry_after(0.0, self.random)))
            return _nothing
        self.callee.call_on_began(request.account, request)
        lent = self.accounts.lend(request.account)
        context = CallContext(
            request.root,
            request.importance,
            deadline - self.now,
            lent,
            1,
            request.caller,
            served.session,
            request.key,
            served.position,
        )

        def finished(outcome: Outcome, spare: int) -> None:
            self._in_progress -= 1
            self.accounts.give_back(request.account, lent, spare)
            if result_of(outcome) is not CallResult.OK and self.callee is not None:
                self.callee.call_on_failed(request.account)
            answer(outcome)

        outgoing = self._outgoing(request, context, finished)
        self._in_progress += 1
        outgoing.begin()
        return outgoing.cancel

    def _outgoing(self, request: Request, context: CallContext, finished: OnFinish) -> OutgoingCall:
        service = request.hop.service
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = RetryBucket(self._policy.retry_ratio, self.now)
        logic = CallerLogic(
            self.table,
            bucket,
            service,
            context,
            repeatable=request.repeatable,
            rng=self.random,
            pinned=self._pins.endpoint_of(request),
            route=request.kind,
        )
        return OutgoingCall(self, logic, request, context, finished)

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
        accepted = AcceptedLink(self, self, link, epoch)
        self._accepted = [held for held in self._accepted if held.open]
        self._accepted.append(accepted)
        self.send(link.process, link.on_accepted, epoch, accepted, self.incarnation())

    def take_call(self, link: AcceptedLink, message: CallMessage) -> None:
        """Take a call."""
        if self.callee is not None:
            self.callee.take(link, message)

    def give_up_call(self, link: AcceptedLink, call: int) -> None:
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
        self, peer: "Daemon", life: int, revision: int, done: Callable[[Delta], None]
    ) -> None:
        """Send a peer what follows ``revision``."""
        if self._connection.follower is not None:
            delta = self._connection.follower.follower.answer_fetch(revision)
            self.send(peer, done, delta, life=life)

    def greet_peers(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Open links to peers, to learn their revisions."""
        for endpoint in endpoints:
            self.link_to(endpoint.name).open()

    def hints(self, hints: Hints) -> None:
        """Take the platform's list of leaving machines."""
        listed = {hint.endpoint for hint in hints.leaving}
        for name in self._listed - listed:
            self.table.set_drain_sign(name, DrainSign.PLATFORM, False, self.now)
        self._listed = listed
        for hint in hints.leaving:
            if hint.endpoint == self.name:
                if hints.applies_to(hint, self.now - self._began_at) and self.callee is not None:
                    self.callee.drain()
                continue
            linked_at = self._linked_at.get(hint.endpoint)
            if linked_at is not None and hints.applies_to(hint, self.now - linked_at):
                self.table.set_drain_sign(hint.endpoint, DrainSign.PLATFORM, True, self.now)

    @property
    def in_progress(self) -> int:
        """Calls on their way through this daemon."""
        serving = 0 if self.callee is None else self.callee.in_progress
        return serving + self._in_progress

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


def _nothing() -> None:
    """Cancel a call that has ended already."""
