"""Thresholds a request meets further down its path, known before it runs.

A back end that isn't overloaded itself may call on one that is. Admitting a request there which
is refused further down wastes the work done so far (*subsequent overload*; Zhou et al., *Overload
Control for Scaling WeChat Microservices*, SoCC 2018, section 3.2). The daemon beside each back end
therefore learns which services the requests of each route call on, and tells its own callers the
threshold that those calls meet. Passed on hop by hop, it reaches the edge, where a request that
would be refused anywhere on its path costs nothing.

A threshold keeps the age of the gate's report it comes from, however many hops it was told over,
so that it fades everywhere at the same time once the gate has stopped telling it.

Inputs: the calls of each request served (by the account it is served under), whether it was
answered, and the thresholds that the routing table holds of the routes called (ranks, with the
milliseconds since the report). Owns what is learnt of each route; relies on the table for the
thresholds. The gate refuses by it, reason ``overload``.
"""

from collections.abc import Callable, Mapping
from typing import TypeAlias

import msgspec

from finchshed.admission.rank import faded_threshold
from finchshed.common.moving_average import moving_average
from finchshed.common.units import MILLISECONDS

DEPENDENCY_WEIGHT = 0.05
"""Weight of one answered request in the fraction of requests that make a call, and in the mean
number of calls: about the last 20 requests. Chosen, not measured."""

REQUIRED_FRACTION = 0.9
"""A call that this fraction of a route's answered requests make is taken to be made by all.
Chosen, not measured."""

REFRESH_SECONDS = 0.01
"""Seconds for which thresholds worked out are used again. Chosen, not measured."""


HOLD_SECONDS = 0.3
"""A threshold counts in full while the report it comes from is no older than this.

Reports are 0.3 to 0.8 s old at the edges. With 0.8 s fewer failed and fewer were served: worth of a
day 0.337 to 0.324 (docs/design/compared-policies.md)."""

HOLD_MILLISECONDS = int(HOLD_SECONDS * MILLISECONDS)
"""The same as ages are sent."""

VALIDITY_SECONDS = 1.0
"""After :data:`HOLD_SECONDS` a threshold fades evenly within its class, to nothing at this age.
Chosen, not measured alone."""


def freshness(age: float) -> float:
    """Return the part of a threshold that still counts ``age`` seconds after it was measured."""
    if age <= HOLD_SECONDS:
        return 1.0
    return max(0.0, (VALIDITY_SECONDS - age) / (VALIDITY_SECONDS - HOLD_SECONDS))


class PathThreshold(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A threshold met further down, and the age of the report it comes from."""

    threshold: int
    age_ms: int

    def aged(self, seconds: float) -> "PathThreshold":
        """Return the threshold ``seconds`` later."""
        return PathThreshold(self.threshold, self.age_ms + int(seconds * MILLISECONDS))

    @property
    def value(self) -> float:
        """What of the threshold still counts: ranks below it are refused."""
        if self.age_ms <= HOLD_MILLISECONDS:
            return float(self.threshold)
        return faded_threshold(self.threshold, freshness(self.age_ms / MILLISECONDS))


NO_THRESHOLD = PathThreshold(0, 0)
NO_PATHS: Mapping[str, PathThreshold] = {}

ThresholdLookup: TypeAlias = Callable[[str, str, float], PathThreshold]
"""Returns the threshold that calls to a service and route meet at a time."""


class CalledRoute(msgspec.Struct, frozen=True, gc=False):
    """A service and the route of it that is called."""

    service: str
    route: str


class _Serving(msgspec.Struct, gc=False):
    """A request being served, and how many calls it made of each kind."""

    route: str
    called: dict[CalledRoute, int] = msgspec.field(default_factory=dict)


class _Route(msgspec.Struct):
    """What is known of a route: the fraction of its requests that make each call, and how many."""

    fractions: dict[CalledRoute, float] = msgspec.field(default_factory=dict)
    counts: dict[CalledRoute, float] = msgspec.field(default_factory=dict)
    answered: bool = False
    threshold: PathThreshold = NO_THRESHOLD
    worked_out_at: float = float("-inf")


class PathThresholds:
    """Learns what the requests a back end serves call on, and which thresholds they meet there.

    Parameters
    ----------
    threshold_of
        Looks up the threshold of a service and route as the local routing table sees it.
    """

    def __init__(self, threshold_of: ThresholdLookup) -> None:
        self._threshold_of = threshold_of
        self._serving: dict[str, _Serving] = {}
        self._routes: dict[str, _Route] = {}
        self._report = NO_PATHS
        self._report_at = float("-inf")

    def on_start(self, request: str, route: str) -> None:
        """Note that the back end begins ``request`` (an identity used once)."""
        self._serving[request] = _Serving(route)

    def on_call(self, request: str, service: str, route: str) -> float:
        """Note that the back end calls on for ``request``.

        Returns the calls of this kind that the call stands for: all that such requests make on the
        mean for the first one, none for the others but those beyond that mean.
        """
        serving = self._serving.get(request)
        if serving is None:
            return 1.0
        called = CalledRoute(service, route)
        made = serving.called.get(called, 0)
        serving.called[called] = made + 1
        held = self._routes.get(serving.route)
        expected = 1.0 if held is None else max(1.0, held.counts.get(called, 1.0))
        if made == 0:
            return expected
        return min(1.0, max(0.0, made + 1 - expected))

    def on_end(self, request: str, *, answered: bool) -> None:
        """Note the end of a request; one that was not answered shows only part of its calls."""
        serving = self._serving.pop(request, None)
        if serving is None or not answered:
            return
        held = self._routes.get(serving.route)
        if held is None:
            if not serving.called:
                return
            held = self._routes[serving.route] = _Route()
        self._learn(held, serving.called)

    def threshold(self, route: str, now: float) -> float:
        """Return the rank below which requests are refused below; 0 where nothing is known."""
        held = self._routes.get(route)
        return 0.0 if held is None else self._threshold_for(held, now).value

    def report(self, now: float) -> Mapping[str, PathThreshold]:
        """Return the thresholds to tell callers, by route; routes without one are left out."""
        if not self._routes or now - self._report_at < REFRESH_SECONDS:
            return self._report
        found = {route: self._threshold_for(held, now) for route, held in self._routes.items()}
        self._report = {route: held for route, held in found.items() if held.value > 0.0}
        self._report_at = now
        return self._report

    def _learn(self, held: _Route, called: Mapping[CalledRoute, int]) -> None:
        first = not held.answered
        held.answered = True
        for route, made in called.items():
            if route not in held.fractions:
                held.fractions[route] = 1.0 if first else 0.0
            count = held.counts.get(route, float(made))
            held.counts[route] = moving_average(count, made, DEPENDENCY_WEIGHT)
        for route, fraction in held.fractions.items():
            target = 1.0 if route in called else 0.0
            held.fractions[route] = moving_average(fraction, target, DEPENDENCY_WEIGHT)

    def _threshold_for(self, held: _Route, now: float) -> PathThreshold:
        """Return the highest threshold of the calls that requests of a route make."""
        if now - held.worked_out_at < REFRESH_SECONDS:
            return held.threshold
        highest = NO_THRESHOLD
        for called, fraction in held.fractions.items():
            if fraction < REQUIRED_FRACTION:
                continue
            threshold = self._threshold_of(called.service, called.route, now)
            if threshold.value > highest.value:
                highest = threshold
        held.threshold = highest
        held.worked_out_at = now
        return highest
