"""External callers: open-loop arrivals, and clients that retry failed requests.

Arrivals don't wait for answers, so a slow system isn't relieved by its callers.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from random import Random
from typing import Final

import msgspec

from finchshed.common.outcomes import Answered, Outcome
from finchshed.emulator.clock import Timer
from finchshed.emulator.deployment import Deployment, RequestKind
from finchshed.emulator.network import EXTERNAL_ZONE, Site
from finchshed.emulator.plain_control import EPOCH_UNIX_SECONDS
from finchshed.emulator.request import Cancel, Path, SimulatedRequest
from finchshed.emulator.simulation import Simulation
from finchshed.emulator.streams import Streams
from finchshed.ledger.keys import new_key

CALLERS: Final = 200
"""Number of callers without a session."""
SESSION_CALLERS: Final = 30
"""Number of callers with a session without a surge; each uses the edge of one zone.

A surge adds callers, since a running session keeps its rate.
"""


class ClientPolicy(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How external clients retry a request that was refused, failed or timed out.

    Attributes
    ----------
    attempts
        Maximum number of attempts, each with the full deadline.
    backoff_seconds
        Mean delay before a retry, uniform between 0.5 and 1.5 times this.
    heed_retry_after
        Whether the client waits at least for the ``retry_after`` it received.
    """

    attempts: int = 4
    backoff_seconds: float = 0.1
    heed_retry_after: bool = False


class Surge(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Multiplies the arrival rate by ``factor`` from ``start`` for ``seconds``."""

    start: float
    seconds: float
    factor: float


class Arrival(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Arrival of a root request from an external caller."""

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

    ``name`` distinguishes several processes of one run, in random streams and root names. Rates
    that vary with surges are sampled by thinning (Lewis and Shedler, 1979).
    """
    random = streams.python(f"arrivals{name}")
    peak_factor = max((surge.factor for surge in surges), default=1.0)
    peak_factor = max(peak_factor, 1.0)
    time = begin
    number = 0
    while True:
        time += random.expovariate(deployment.arrivals_per_second * peak_factor)
        if time >= end:
            return
        factor = _factor_at(time, surges)
        if random.random() * peak_factor > factor:
            continue
        number += 1
        yield _sample_arrival(deployment, random, time, f"r{name}{number}", factor)


def _sample_arrival(
    deployment: Deployment, random: Random, time: float, root: str, factor: float
) -> Arrival:
    """Sample kind, caller and zone of a root request; ``factor`` is the rate's current factor."""
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
class _Delivery:
    """A delivery of an attempt to the edge; duplicates are separate deliveries."""

    call: str
    is_ended: bool = False
    cancel: Cancel | None = None


@dataclass(slots=True)
class _Root:
    """A root request at its client, with the state of its attempts."""

    arrival: Arrival
    kind: RequestKind
    attempts: int = 0
    is_pending: bool = False
    """Whether the latest attempt has neither ended nor timed out."""


@dataclass(slots=True)
class _Attempt:
    """One attempt of a client, with its deliveries to the edge."""

    root: _Root
    number: int
    deliveries: list[_Delivery]
    timer: Timer | None = None

    @property
    def is_awaited(self) -> bool:
        """Whether the client still waits for the answer to this attempt."""
        return self.root.is_pending and self.root.attempts == self.number


class ExternalCallers:
    """Sends root requests through the edges and retries failed ones."""

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
        """Schedule ``arrivals``, which are in order of time."""
        self._schedule_next(iter(arrivals))

    def _schedule_next(self, arrivals: "Iterable[Arrival]") -> None:
        arrival = next(iter(arrivals), None)
        if arrival is not None:
            self._clock.call_at(arrival.time, self._arrive, arrival, arrivals)

    def _arrive(self, arrival: Arrival, rest: Iterable[Arrival]) -> None:
        self._schedule_next(rest)
        self.roots += 1
        self._attempt(_Root(arrival, self._kinds[arrival.kind]))

    def _attempt(self, root: _Root) -> None:
        root.attempts += 1
        root.is_pending = True
        arrival = root.arrival
        site = Site(f"client-{arrival.zone}", EXTERNAL_ZONE)
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
        attempt = _Attempt(root, root.attempts, [_Delivery(request.call)])
        attempt.timer = self._clock.call_at(deadline, self._timed_out, attempt)

        def arrive() -> None:
            if not attempt.is_awaited:
                return
            delivery = attempt.deliveries[0]
            if delivery.cancel is not None:
                delivery = self._record_duplicate(request, attempt)

            def answered(outcome: Outcome) -> None:
                self._network.send(edge_site, site, lambda: self._ended(attempt, delivery, outcome))

            delivery.cancel = path.call(replace(request, call=delivery.call), answered)

        self._network.send(site, edge_site, arrive)

    def _record_duplicate(self, request: SimulatedRequest, attempt: _Attempt) -> _Delivery:
        """Record a duplicate delivery as a call of its own.

        The edge sees another request of the same root, as from a client that sends it again on a
        second connection. The outcome is recorded for this copy.
        """
        copy = replace(request, call=f"{request.call}+{len(attempt.deliveries)}")
        self._recorder.call_began(copy)
        delivery = _Delivery(copy.call)
        attempt.deliveries.append(delivery)
        return delivery

    def _timed_out(self, attempt: _Attempt) -> None:
        zone = attempt.root.arrival.zone
        edge_site, _ = self._edge_of(zone)
        for delivery in attempt.deliveries:
            if delivery.is_ended:
                continue
            delivery.is_ended = True
            self._recorder.call_abandoned(delivery.call)
            if delivery.cancel is not None:
                self._network.send(
                    Site(f"client-{zone}", EXTERNAL_ZONE), edge_site, delivery.cancel
                )
        if attempt.is_awaited:
            attempt.root.is_pending = False
            self._retry(attempt.root, 0.0)

    def _ended(self, attempt: _Attempt, delivery: _Delivery, outcome: Outcome) -> None:
        if delivery.is_ended:
            return
        delivery.is_ended = True
        self._recorder.call_ended(delivery.call, outcome)
        if attempt.timer is not None and all(copy.is_ended for copy in attempt.deliveries):
            attempt.timer.cancel()
        if not attempt.is_awaited:
            return
        root = attempt.root
        root.is_pending = False
        if isinstance(outcome, Answered):
            if outcome.status != 200:
                self._retry(root, 0.0)
            return
        self._retry(root, outcome.retry_after)

    def _retry(self, root: _Root, retry_after: float) -> None:
        if root.attempts >= self._policy.attempts:
            return
        wait = self._policy.backoff_seconds * (0.5 + self._random.random())
        if self._policy.heed_retry_after:
            wait = max(wait, retry_after)
        self._clock.call_later(wait, self._attempt, root)
