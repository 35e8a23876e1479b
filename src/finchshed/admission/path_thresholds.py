"""Admission thresholds of downstream services, propagated upstream along the call path.

A back end that isn't overloaded may call one that is. Admitting a request that is refused
downstream wastes the work done so far (*subsequent overload*; Zhou et al., *Overload Control for
Scaling WeChat Microservices*, SoCC 2018, section 3.2). Each daemon therefore learns which services
the requests of each route call, and reports the highest threshold of those calls to its own
callers. Passed on hop by hop, the threshold reaches the edge, where such a request is refused
before it costs anything.

Each threshold carries the age of the report it comes from, so it expires at the same time on every
hop once the gate that set it stops reporting.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import TypeAlias

import msgspec

from finchshed.admission.rank import decayed_threshold
from finchshed.common.moving_average import moving_average
from finchshed.common.units import MILLISECONDS

DEPENDENCY_WEIGHT = 0.05
"""Weight of one answered request in the call statistics of its route."""

REQUIRED_FRACTION = 0.9
"""A call counts as made by every request of a route if at least this fraction makes it."""

CACHE_SECONDS = 0.01
"""How long computed thresholds are reused."""


DECAY_START_SECONDS = 0.3
"""Report age up to which a threshold applies in full.

Reports are 0.3 to 0.8 s old at the edges. With 0.8 s, fewer requests failed and fewer were
served (docs/design/compared-policies.md)."""

DECAY_START_MILLISECONDS = int(DECAY_START_SECONDS * MILLISECONDS)
"""The same in milliseconds, the unit in which ages are sent."""

DECAY_END_SECONDS = 1.0
"""Report age at which a threshold has expired; it decays linearly from
:data:`DECAY_START_SECONDS` on."""


def remaining_weight(age: float) -> float:
    """Return the fraction of a threshold that still applies ``age`` seconds after its report."""
    if age <= DECAY_START_SECONDS:
        return 1.0
    return max(0.0, (DECAY_END_SECONDS - age) / (DECAY_END_SECONDS - DECAY_START_SECONDS))


class PathThreshold(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A threshold that applies downstream, and the age of the report it comes from."""

    threshold: int
    age_ms: int

    def aged(self, seconds: float) -> "PathThreshold":
        """Return the threshold ``seconds`` later."""
        return PathThreshold(self.threshold, self.age_ms + int(seconds * MILLISECONDS))

    @property
    def value(self) -> float:
        """The threshold after decay: requests of a lower rank are refused."""
        if self.age_ms <= DECAY_START_MILLISECONDS:
            return float(self.threshold)
        return decayed_threshold(self.threshold, remaining_weight(self.age_ms / MILLISECONDS))


NO_THRESHOLD = PathThreshold(0, 0)
NO_PATH_THRESHOLDS: Mapping[str, PathThreshold] = {}

ThresholdLookup: TypeAlias = Callable[[str, str, float], PathThreshold]
"""Returns the threshold for calls to a service (first) and route (second) at a given time."""


class CalledRoute(msgspec.Struct, frozen=True, gc=False):
    """A route of a downstream service."""

    service: str
    route: str


class DownstreamCall(msgspec.Struct, frozen=True, gc=False):
    """What is expected of a request at one of its downstream calls.

    Attributes
    ----------
    weight
        Weight of the call in demand estimates.
    remaining_calls
        Number of calls that the request is still expected to make after this one.
    """

    weight: float
    remaining_calls: int = 0


SINGLE_CALL = DownstreamCall(1.0)
"""A call of a request that is not known."""


class _ActiveRequest(msgspec.Struct, gc=False):
    """A request in progress and the number of calls it has made to each downstream route.

    ``calls_below`` is the number of calls that its answered calls made in turn.
    """

    route: str
    called: dict[CalledRoute, int] = msgspec.field(default_factory=dict)
    calls_below: int = 0


class _RouteProfile(msgspec.Struct):
    """Call statistics of a route, and its cached threshold.

    Attributes
    ----------
    fractions
        Fraction of requests that call each downstream route.
    counts
        Mean number of calls to a downstream route by the requests that call it.
    """

    fractions: dict[CalledRoute, float] = msgspec.field(default_factory=dict)
    counts: dict[CalledRoute, float] = msgspec.field(default_factory=dict)
    answered: bool = False
    threshold: PathThreshold = NO_THRESHOLD
    computed_at: float = float("-inf")


class PathThresholds:
    """Learns which downstream routes each served route calls, and which thresholds apply there.

    Parameters
    ----------
    threshold_of
        Looks up the threshold of a service and route in the local routing table.
    """

    def __init__(self, threshold_of: ThresholdLookup) -> None:
        self._threshold_of = threshold_of
        self._active: dict[str, _ActiveRequest] = {}
        self._profiles: dict[str, _RouteProfile] = {}
        self._calls_below: dict[CalledRoute, float] = {}
        self._report = NO_PATH_THRESHOLDS
        self._report_at = float("-inf")

    def on_start(self, request: str, route: str) -> None:
        """Record that the back end starts ``request``, a unique identifier."""
        self._active[request] = _ActiveRequest(route)

    def on_call(self, request: str, service: str, route: str) -> DownstreamCall:
        """Record a downstream call made for ``request``; return its weight and what remains.

        The first call has the weight of all calls expected of the request, so that demand is not
        underestimated if the request ends early. Calls up to that number then weigh nothing, and
        those beyond it one each.
        """
        active = self._active.get(request)
        if active is None:
            return SINGLE_CALL
        called = CalledRoute(service, route)
        made = active.called.get(called, 0)
        active.called[called] = made + 1
        profile = self._profiles.get(active.route)
        if profile is None:
            return DownstreamCall(_call_weight(made, 1.0))
        expected = max(1.0, profile.counts.get(called, 1.0))
        return DownstreamCall(
            _call_weight(made, expected),
            _remaining_calls(profile, active.called, self._calls_below),
        )

    def on_call_answered(self, request: str, service: str, route: str, calls_below: int) -> None:
        """Record that a downstream call was answered, for which ``calls_below`` calls were made."""
        called = CalledRoute(service, route)
        known = self._calls_below.get(called, float(calls_below))
        self._calls_below[called] = moving_average(known, calls_below, DEPENDENCY_WEIGHT)
        active = self._active.get(request)
        if active is not None:
            active.calls_below += calls_below

    def calls_made(self, request: str) -> int:
        """Return how many calls were made for a request, at this hop and below."""
        active = self._active.get(request)
        return 0 if active is None else sum(active.called.values()) + active.calls_below

    def expected_calls(self, route: str) -> int:
        """Return how many calls a request of a served route is expected to make; 0 if unknown."""
        profile = self._profiles.get(route)
        return 0 if profile is None else _remaining_calls(profile, {}, self._calls_below)

    def served_routes(self) -> Iterable[str]:
        """Return the routes whose requests are known to make calls."""
        return self._profiles.keys()

    def needed_calls(self, route: str) -> Mapping[CalledRoute, float]:
        """Return how many calls to each route the requests of a served route need."""
        profile = self._profiles.get(route)
        if profile is None:
            return {}
        return {
            called: profile.counts[called]
            for called, fraction in profile.fractions.items()
            if fraction >= REQUIRED_FRACTION
        }

    def on_end(self, request: str, *, answered: bool) -> None:
        """Record the end of a request; only an answered one has made all of its calls."""
        active = self._active.pop(request, None)
        if active is None or not answered:
            return
        profile = self._profiles.get(active.route)
        if profile is None:
            if not active.called:
                return
            profile = self._profiles[active.route] = _RouteProfile()
        self._learn(profile, active.called)

    def threshold(self, route: str, now: float) -> float:
        """Return the rank below which requests are refused downstream; 0 if none is known."""
        profile = self._profiles.get(route)
        return 0.0 if profile is None else self._threshold_for(profile, now).value

    def report(self, now: float) -> Mapping[str, PathThreshold]:
        """Return the thresholds to report to callers, by route; routes without one are omitted."""
        if not self._profiles or now - self._report_at < CACHE_SECONDS:
            return self._report
        found = {
            route: self._threshold_for(profile, now) for route, profile in self._profiles.items()
        }
        self._report = {
            route: threshold for route, threshold in found.items() if threshold.value > 0.0
        }
        self._report_at = now
        return self._report

    def _learn(self, profile: _RouteProfile, called: Mapping[CalledRoute, int]) -> None:
        first = not profile.answered
        profile.answered = True
        for route, made in called.items():
            if route not in profile.fractions:
                profile.fractions[route] = 1.0 if first else 0.0
            count = profile.counts.get(route, float(made))
            profile.counts[route] = moving_average(count, made, DEPENDENCY_WEIGHT)
        for route, fraction in profile.fractions.items():
            target = 1.0 if route in called else 0.0
            profile.fractions[route] = moving_average(fraction, target, DEPENDENCY_WEIGHT)

    def _threshold_for(self, profile: _RouteProfile, now: float) -> PathThreshold:
        """Return the highest threshold among the calls that requests of a route require."""
        if now - profile.computed_at < CACHE_SECONDS:
            return profile.threshold
        highest = NO_THRESHOLD
        for called, fraction in profile.fractions.items():
            if fraction < REQUIRED_FRACTION:
                continue
            threshold = self._threshold_of(called.service, called.route, now)
            if threshold.value > highest.value:
                highest = threshold
        profile.threshold = highest
        profile.computed_at = now
        return highest


def _call_weight(made: int, expected: float) -> float:
    """Return the weight of a call to a route after ``made`` others to it."""
    if made == 0:
        return expected
    return min(1.0, max(0.0, made + 1 - expected))


def _remaining_calls(
    profile: _RouteProfile,
    called: Mapping[CalledRoute, int],
    calls_below: Mapping[CalledRoute, float],
) -> int:
    """Return how many calls a request of the route is expected to make beyond ``called``.

    Each counts with the calls that are made for it in turn. Calls to a route that the request may
    not need at all count with the fraction of requests that need it.
    """
    remaining = 0.0
    for route, count in profile.counts.items():
        made = called.get(route, 0)
        expected = max(0.0, count - made) if made else profile.fractions[route] * count
        remaining += expected * (1.0 + calls_below.get(route, 0.0))
    return round(remaining)
