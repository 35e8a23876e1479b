"""Fraction of the requests of a route whose downstream calls are all accepted.

Addresses back ends deep in a call graph that refuse most of their calls, or are out of reach, for
some seconds: nearly all requests that need them fail after they have run. Each daemon measures
which fraction of its calls the own back end accepts, multiplies it for all calls that the requests
of a route need, and reports the product to its callers. Passed on hop by hop, it reaches the edge,
where :mod:`finchshed.admission.deferral` uses it.

Retries are not taken into account, because their budget covers only a part of the calls.
"""

from collections.abc import Callable, Mapping
from typing import TypeAlias

import msgspec

from finchshed.admission.path_thresholds import CACHE_SECONDS, PathThresholds
from finchshed.common.moving_average import moving_average
from finchshed.common.results import CallResult

ACCEPTANCE_WEIGHT = 0.05
"""Weight of one call in the fraction that the own back end accepts."""

MAX_REPORTED = 0.9
"""Higher fractions are not reported."""

DECIMALS = 3
"""Decimal places of reported fractions."""

CompletionLookup: TypeAlias = Callable[[str, str, float], float]
"""Returns the completion of calls to a service (first) and route (second) at a given time."""

NO_COMPLETIONS: Mapping[str, float] = {}


class CompletionReport(msgspec.Struct, frozen=True):
    """What a daemon reports to its callers.

    Attributes
    ----------
    accepted
        Fraction of its calls that the back end accepts.
    routes
        Completion of the downstream calls, by route; those that mostly complete are omitted.
    """

    accepted: float = 1.0
    routes: Mapping[str, float] = NO_COMPLETIONS


ALL_COMPLETE = CompletionReport()


class PathCompletion:
    """Completion of the requests that one back end serves.

    Parameters
    ----------
    paths
        Knows which calls the requests of a route need.
    completion_of
        Looks up the completion of a service and route in the local routing table.
    """

    def __init__(self, paths: PathThresholds, completion_of: CompletionLookup) -> None:
        self.is_enabled = False
        self._paths = paths
        self._completion_of = completion_of
        self._accepted = 1.0
        self._report = ALL_COMPLETE
        self._report_at = float("-inf")

    def on_result(self, result: CallResult) -> None:
        """Record the result of a call at the own back end."""
        sample = 0.0 if result is CallResult.REFUSED else 1.0
        self._accepted = moving_average(self._accepted, sample, ACCEPTANCE_WEIGHT)

    def start_run(self) -> None:
        """Forget what an earlier run of the back end accepted."""
        self._accepted = 1.0

    def report(self, now: float) -> CompletionReport:
        """Return the report for callers."""
        if not self.is_enabled:
            return ALL_COMPLETE
        if now - self._report_at < CACHE_SECONDS:
            return self._report
        found = {route: self._completion(route, now) for route in self._paths.served_routes()}
        self._report = CompletionReport(
            accepted=round(self._accepted, DECIMALS) if self._accepted <= MAX_REPORTED else 1.0,
            routes={
                route: round(completion, DECIMALS)
                for route, completion in found.items()
                if completion <= MAX_REPORTED
            },
        )
        self._report_at = now
        return self._report

    def _completion(self, route: str, now: float) -> float:
        completion = 1.0
        for called, count in self._paths.needed_calls(route).items():
            completion *= self._completion_of(called.service, called.route, now) ** count
        return completion
