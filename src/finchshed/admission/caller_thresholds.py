"""Thresholds of callers in load reports: their value after decay, and their refusals."""

from collections.abc import Mapping

from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_thresholds import NO_THRESHOLD, PathThreshold, remaining_weight
from finchshed.admission.rank import decayed_threshold
from finchshed.common.outcomes import Outcome, RefusalReason, Refused

MAX_REPORTED_CALLERS = 16
"""Maximum number of callers whose thresholds a load report holds, for each route."""

CallerThresholds = Mapping[str, int]
"""Ranks below which requests of callers are refused."""

NO_CALLER_THRESHOLDS: CallerThresholds = {}
NO_PATH_CALLERS: Mapping[str, CallerThresholds] = {}

EXCESS_PREFIX = "caller "
"""Begin of the detail of each refusal of a caller that exceeds its share. Refusals for the same
reasons may have other details."""

_REASONS_OF_THE_GATE = frozenset(
    {RefusalReason.OVERLOAD, RefusalReason.QUEUE_FULL, RefusalReason.DEADLINE}
)


def reported_threshold(report: LoadReport, caller: str, route: str, age: float) -> float:
    """Return a caller's threshold for a route; 0 if the report doesn't name the caller.

    Parameters
    ----------
    age
        Seconds since the report was received.
    """
    own = report.callers.get(caller, 0)
    value = decayed_threshold(own, remaining_weight(age)) if own else 0.0
    downstream = report.path_callers.get(route, NO_CALLER_THRESHOLDS).get(caller, 0)
    if downstream:
        reported_age = report.paths.get(route, NO_THRESHOLD).age_ms
        value = max(value, PathThreshold(downstream, reported_age).aged(age).value)
    return value


def named_callers(report: LoadReport, route: str) -> set[str]:
    """Return the callers for which a report holds a threshold for a route."""
    return {*report.callers, *report.path_callers.get(route, NO_CALLER_THRESHOLDS)}


def highest_thresholds(thresholds: CallerThresholds) -> CallerThresholds:
    """Return the highest thresholds, as many as a report may hold."""
    if len(thresholds) <= MAX_REPORTED_CALLERS:
        return thresholds
    names = sorted(thresholds, key=lambda caller: (-thresholds[caller], caller))
    return {caller: thresholds[caller] for caller in names[:MAX_REPORTED_CALLERS]}


def is_beyond_share(outcome: Outcome) -> bool:
    """Return whether a request was refused because its caller exceeds its share."""
    return (
        isinstance(outcome, Refused)
        and outcome.reason in _REASONS_OF_THE_GATE
        and outcome.detail.startswith(EXCESS_PREFIX)
    )
