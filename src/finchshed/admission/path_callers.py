"""Thresholds of callers at downstream services, propagated upstream along the call path.

As :mod:`finchshed.admission.path_thresholds` does for the thresholds of classes: the edge refuses
the excess of a caller before it costs anything, even if the back end whose capacity the caller
exceeds is several hops away.
"""

from collections.abc import Callable, Mapping
from typing import TypeAlias

import msgspec

from finchshed.admission.caller_thresholds import (
    NO_CALLER_THRESHOLDS,
    NO_PATH_CALLERS,
    CallerThresholds,
    highest_thresholds,
)
from finchshed.admission.path_thresholds import CACHE_SECONDS, PathThresholds

CallerLookup: TypeAlias = Callable[[str, str, float], CallerThresholds]
"""Returns thresholds of callers for a service (first) and route (second) at a given time."""


class _CachedThresholds(msgspec.Struct):
    thresholds: CallerThresholds
    computed_at: float


class PathCallers:
    """Thresholds of callers that apply to the downstream calls of each served route.

    Parameters
    ----------
    paths
        Knows which downstream routes the requests of each route call.
    callers_of
        Looks up thresholds of callers in the local routing table; they have already decayed.
    """

    def __init__(self, paths: PathThresholds, callers_of: CallerLookup) -> None:
        self._paths = paths
        self._callers_of = callers_of
        self._cache: dict[str, _CachedThresholds] = {}

    def threshold(self, route: str, caller: str, now: float) -> int:
        """Return the rank below which requests of a caller are refused downstream; 0 if none."""
        return self._of(route, now).get(caller, 0)

    def report(self, now: float) -> Mapping[str, CallerThresholds]:
        """Return the thresholds to report, by route; routes without one are omitted."""
        found = {route: self._of(route, now) for route in self._paths.served_routes()}
        reported = {route: thresholds for route, thresholds in found.items() if thresholds}
        return reported or NO_PATH_CALLERS

    def _of(self, route: str, now: float) -> CallerThresholds:
        cached = self._cache.get(route)
        if cached is not None and now - cached.computed_at < CACHE_SECONDS:
            return cached.thresholds
        thresholds = self._highest(route, now)
        self._cache[route] = _CachedThresholds(thresholds, now)
        return thresholds

    def _highest(self, route: str, now: float) -> CallerThresholds:
        """Return the highest threshold of each caller among the calls that a route requires."""
        highest: dict[str, int] = {}
        for called in self._paths.needed_calls(route):
            for caller, threshold in self._callers_of(called.service, called.route, now).items():
                highest[caller] = max(threshold, highest.get(caller, 0))
        return highest_thresholds(highest) if highest else NO_CALLER_THRESHOLDS
