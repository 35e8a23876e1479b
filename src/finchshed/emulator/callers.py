"""Outside callers: an open loop of arrivals, and clients that repeat what failed.

Arrivals don't wait for answers (an open loop): a slow system gets no relief from its callers.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from random import Random
from typing import Final

import msgspec

from finchshed.common.outcomes import Answered, Outcome
from finchshed.emulator.clock import Timer
from finchshed.emulator.deployment import Deployment, RequestKind
from finchshed.emulator.network import OUTSIDE, Site
from finchshed.emulator.plain_control import EPOCH_UNIX_SECONDS
from finchshed.emulator.request import Cancel, Path, SimulatedRequest
from finchshed.emulator.simulation import Simulation
from finchshed.emulator.streams import Streams
from finchshed.ledger.keys import new_key

CALLERS: Final = 200
"""Callers without a session; chosen, not measured."""
SESSION_CALLERS: Final = 30
"""Callers with a session on an ordinary day; each always comes to the edge of one zone.

A surge brings more of them: a running session keeps its pace.
"""


class ClientPolicy(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How outside clients repeat a request that was refused, failed or not answered in time.

    Attributes
    ----------
    attempts
        Attempts in all; each has the whole deadline.
    backoff_seconds
        Mean wait before a repeat, drawn evenly from half to one and a half of it.
    heed_retry_after
        Whether the client waits at least as long as it was told to.
    """

    attempts: int = 4
    backoff_seconds: float = 0.1
    heed_retry_after: bool = False


class Surge(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Demand is ``factor`` times the ordinary from ``start`` for ``seconds``."""

    start: float
    seconds: float
    factor: float


class Arrival(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One root request arriving from outside."""

    time: float
    root: str
    kind: str
    zone: str
    caller: str = ""
    key: str = ""
    session: str = ""


def generate_arrivals(
    deployment: Deployment,
    streams: Streams,
    end: float,
    surges: tuple[Surge, ...],
    begin: float = 0.0,
    *,
    name: str = "",
) -> Iterable[Arrival]:
    """Yield arrivals of a Poisson process from ``begin`` until ``end``, in order of time.

    ``name`` tells several processes of one run apart: in their numbers and in the roots' names.

    Drawn at the highest rate and thinned (Lewis and Shedler, 1979).
    """
    random = streams.python(f"arrivals{name}")
    highest = max((surge.factor for surge in surges), default=1.0)
    highest = max(highest, 1.0)
    time = begin
    number = 0
    while True:
        time += random.expovariate(deployment.arrivals_per_second * highest)
        if time >= end:
            return
        factor = _factor_at(time, surges)
        if random.random() * highest > factor:
            continue
        number += 1
        yield _draw_arrival(deployment, random, time, f"r{name}{number}", factor)


def _draw_arrival(
    deployment: Deployment, random: Random, time: float, root: str, factor: float
) -> Arrival:
    """Draw kind, caller and zone of a root request; ``factor`` is the demand at that time."""
    kinds = deployment.kinds
    kind = random.choices(kinds, [kind.share for kind in kinds])[0]
    callers = int(SESSION_CALLERS * factor) if kind.session else CALLERS
    caller_number = random.randrange(max(callers, SESSION_CALLERS))
    caller = f"caller-{caller_number}"
    zone = random.choice(deployment.zones)
    if kind.session:
        zone = deployment.zones[caller_number % len(deployment.zones)]
    return Arrival(
        time=time,
        root=root,
        kind=kind.name,
        zone=zone,
        caller=caller,
        key="" if kind.repeatable else new_key(EPOCH_UNIX_SECONDS + time, random),
        session=f"s-{caller}" if kind.session else "",
    )


def _factor_at(time: float, surges: tuple[Surge, ...]) -> float:
    factor = 1.0
    for surge in surges:
        if surge.start <= time < surge.start + surge.seconds:
            factor = max(factor, surge.factor)
    return factor


@dataclass(slots=True)
class _Sending:
    """One copy of an attempt: the attempt itself, or the same request delivered once more."""

    call: str
    is_over: bool = False
    cancel: Cancel | None = None


@dataclass(slots=True)
class _Root:
    """A root request at its client, over the client's attempts."""

    arrival: Arrival
    kind: RequestKind
    attempts: int = 0
    waits: bool = False
    """Whether an attempt was sent and neither answered nor given up yet."""


@dataclass(slots=True)
class _Attempt:
    """One attempt of a client, with every copy of it that reached the edge."""

    root: _Root
    number: int
    sendings: list[_Sending]
    timer: Timer | None = None

    @property
    def is_awaited(self) -> bool:
        """Whether the client still waits for this attempt's answer."""
        return self.root.waits and self.root.attempts == self.number


class OutsideCallers:
    """Sends arrivals through the edges and repeats what failed."""

    def __init__(
        self,
        simulation: Simulation,
        deployment: Deployment,
        policy: ClientPolicy,
        edge_of: Callable[[str], tuple[Site, Path]],
    ) -> None:
        self._deployment = deployment
        self._policy = policy
        self._edge_of = edge_of
        self._clock = simulation.clock
        self._network = simulation.network
        self._random = simulation.streams.python("clients")
        self._recorder = simulation.recorder
        self._kinds = {kind.name: kind for kind in deployment.kinds}
        self.roots = 0

    def play(self, arrivals: Iterable[Arrival]) -> None:
        """Let ``arrivals`` happen at their times."""
        self._next(iter(arrivals))

    def _next(self, arrivals: "Iterable[Arrival]") -> None:
        arrival = next(iter(arrivals), None)
        if arrival is not None:
            self._clock.call_at(arrival.time, self._arrive, arrival, arrivals)

    def _arrive(self, arrival: Arrival, rest: Iterable[Arrival]) -> None:
        self._next(rest)
        self.roots += 1
        self._attempt(_Root(arrival, self._kinds[arrival.kind]))

    def _attempt(self, root: _Root) -> None:
        root.attempts += 1
        root.waits = True
        arrival = root.arrival
        site = Site(f"client-{arrival.zone}", OUTSIDE)
        edge_site, path = self._edge_of(arrival.zone)
        deadline = self._clock.now + self._deployment.deadline_seconds
        request = SimulatedRequest(
            call=f"{arrival.root}/{root.attempts}",
            root=arrival.root,
            hop=root.kind.hop,
            kind=arrival.kind,
            importance=root.kind.importance,
            deadline=deadline,
            caller=arrival.caller,
            key=arrival.key,
            session=arrival.session,
            repeatable=root.kind.repeatable,
        )
        self._recorder.call_began(request)
        attempt = _Attempt(root, root.attempts, [_Sending(request.call)])
        attempt.timer = self._clock.call_at(deadline, self._timed_out, attempt)

        def arrive() -> None:
            if not attempt.is_awaited:
                return
            sending = attempt.sendings[0]
            if sending.cancel is not None:
                sending = self._begin_copy(request, attempt)

            def answered(outcome: Outcome) -> None:
                self._network.send(edge_site, site, lambda: self._ended(attempt, sending, outcome))

            sending.cancel = path.call(replace(request, call=sending.call), answered)

        self._network.send(site, edge_site, arrive)

    def _begin_copy(self, request: SimulatedRequest, attempt: _Attempt) -> _Sending:
        """Take note that the edge gets a request again.

        No transport delivers a request twice: the edge sees another request of the same root, as
        from a client that sends again on a second connection. Its outcome speaks of this copy.
        """
        copy = replace(request, call=f"{request.call}+{len(attempt.sendings)}")
        self._recorder.call_began(copy)
        sending = _Sending(copy.call)
        attempt.sendings.append(sending)
        return sending

    def _timed_out(self, attempt: _Attempt) -> None:
        zone = attempt.root.arrival.zone
        edge_site, _ = self._edge_of(zone)
        for sending in attempt.sendings:
            if sending.is_over:
                continue
            sending.is_over = True
            self._recorder.call_abandoned(sending.call)
            if sending.cancel is not None:
                self._network.send(Site(f"client-{zone}", OUTSIDE), edge_site, sending.cancel)
        if attempt.is_awaited:
            attempt.root.waits = False
            self._repeat(attempt.root, 0.0)

    def _ended(self, attempt: _Attempt, sending: _Sending, outcome: Outcome) -> None:
        if sending.is_over:
            return
        sending.is_over = True
        self._recorder.call_ended(sending.call, outcome)
        if attempt.timer is not None and all(copy.is_over for copy in attempt.sendings):
            attempt.timer.cancel()
        if not attempt.is_awaited:
            return
        root = attempt.root
        root.waits = False
        if isinstance(outcome, Answered):
            if outcome.status != 200:
                self._repeat(root, 0.0)
            return
        self._repeat(root, outcome.retry_after)

    def _repeat(self, root: _Root, retry_after: float) -> None:
        if root.attempts >= self._policy.attempts:
            return
        wait = self._policy.backoff_seconds * (0.5 + self._random.random())
        if self._policy.heed_retry_after:
            wait = max(wait, retry_after)
        self._clock.call_later(wait, self._attempt, root)
