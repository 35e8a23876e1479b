"""Thresholds a request meets further down its path, known before it runs.

A back end that isn't overloaded itself may call on one that is. Admitting a request there which
is refused further down wastes the work done so far (*subsequent overload*; Zhou et al., *Overload
Control for Scaling WeChat Microservices*, SoCC 2018, section 3.2). The daemon beside each back end
therefore learns which services the requests of each route call on, and tells its own callers the
threshold that those calls meet. Told hop by hop, it reaches the edge, where a request that would be
refused anywhere on its path costs nothing.

A threshold keeps the age of the gate's report it comes from, however many hops it was told over,
so that it fades everywhere at the same time once the gate has stopped telling it.
"""

from collections.abc import Callable, Mapping
from typing import TypeAlias

import msgspec

from finchshed.admission.rank import faded
from finchshed.common.units import MILLISECONDS

DEPENDENCY_WEIGHT = 0.05
"""Weight of one answered request in the share of requests that make a call."""

REQUIRED_SHARE = 0.9
"""A call that this share of a route's answered requests make is taken to be made by all."""

REFRESH_SECONDS = 0.01
"""How long thresholds worked out are used again."""


HOLD_SECONDS = 0.3
"""A threshold counts in full while the report it comes from is no older than this."""

HOLD_MILLISECONDS = int(HOLD_SECONDS * MILLISECONDS)

VALIDITY_SECONDS = 1.0
"""After :data:`HOLD_SECONDS` a threshold fades evenly within its class, to nothing at this age."""


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
        return faded(self.threshold, freshness(self.age_ms / MILLISECONDS))


NO_THRESHOLD = PathThreshold(0, 0)
NO_PATHS: Mapping[str, PathThreshold] = {}

FloorOf: TypeAlias = Callable[[str, str, float], PathThreshold]
"""Returns the threshold that calls to a service and route meet at a time."""


class Callee(msgspec.Struct, frozen=True, gc=False):
    """A service and the route of it that is called."""

    service: str
    route: str


class _Serving(msgspec.Struct, gc=False):
    """A request being served, and how many calls it made of each kind."""

    route: str
    called: dict[Callee, int] = msgspec.field(default_factory=dict)


class _Route(msgspec.Struct):
    """What is known of a route: the share of its requests that make a call, and how many."""

    shares: dict[Callee, float] = msgspec.field(default_factory=dict)
    counts: dict[Callee, float] = msgspec.field(default_factory=dict)
    answered: bool = False
    floor: PathThreshold = NO_THRESHOLD
    worked_out_at: float = float("-inf")


class PathThresholds:
    """Learns what the requests a back end serves call on, and which thresholds they meet there.

    Parameters
    ----------
    floor_of
        Looks up the threshold of a service and route as the local routing table sees it.
    """

    def __init__(self, floor_of: FloorOf) -> None:
        self._floor_of = floor_of
        self._serving: dict[str, _Serving] = {}
        self._routes: dict[str, _Route] = {}
        self._report = NO_PATHS
        self._report_at = float("-inf")

    def on_start(self, request: str, route: str) -> None:
        """Take note that the back end begins ``request`` (an identity used once)."""
        self._serving[request] = _Serving(route)

    def on_call(self, request: str, service: str, route: str) -> float:
        """Take note that the back end calls on for ``request``.

        Returns the calls of this kind that the call stands for: all that such requests make on the
        mean for the first one, none for the others but those beyond that mean.
        """
        serving = self._serving.get(request)
        if serving is None:
            return 1.0
        callee = Callee(service, route)
        made = serving.called.get(callee, 0)
        serving.called[callee] = made + 1
        held = self._routes.get(serving.route)
        expected = 1.0 if held is None else max(1.0, held.counts.get(callee, 1.0))
        if made == 0:
            return expected
        return min(1.0, max(0.0, made + 1 - expected))

    def on_end(self, request: str, *, answered: bool) -> None:
        """Take the end of a request; one that was not answered shows only part of its calls."""
        serving = self._serving.pop(request, None)
        if serving is None or not answered:
            return
        held = self._routes.get(serving.route)
        if held is None:
            if not serving.called:
                return
            held = self._routes[serving.route] = _Route()
        self._learn(held, serving.called)

    def floor(self, route: str, now: float) -> float:
        """Return the rank below which requests are refused below; 0 where nothing is known."""
        held = self._routes.get(route)
        return 0.0 if held is None else self._floor(held, now).value

    def report(self, now: float) -> Mapping[str, PathThreshold]:
        """Return the thresholds to tell callers, by route; routes without one are left out."""
        if not self._routes or now - self._report_at < REFRESH_SECONDS:
            return self._report
        floors = {route: self._floor(held, now) for route, held in self._routes.items()}
        self._report = {route: floor for route, floor in floors.items() if floor.value > 0.0}
        self._report_at = now
        return self._report

    def _learn(self, held: _Route, called: Mapping[Callee, int]) -> None:
        first = not held.answered
        held.answered = True
        for callee, made in called.items():
            if callee not in held.shares:
                held.shares[callee] = 1.0 if first else 0.0
            count = held.counts.get(callee, float(made))
            held.counts[callee] = count + DEPENDENCY_WEIGHT * (made - count)
        for callee, share in held.shares.items():
            target = 1.0 if callee in called else 0.0
            held.shares[callee] = share + DEPENDENCY_WEIGHT * (target - share)

    def _floor(self, held: _Route, now: float) -> PathThreshold:
        if now - held.worked_out_at < REFRESH_SECONDS:
            return held.floor
        highest = NO_THRESHOLD
        for callee, share in held.shares.items():
            if share < REQUIRED_SHARE:
                continue
            floor = self._floor_of(callee.service, callee.route, now)
            if floor.value > highest.value:
                highest = floor
        held.floor = highest
        held.worked_out_at = now
        return highest
