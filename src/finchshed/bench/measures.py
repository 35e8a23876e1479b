"""Measures of one run, taken from its history alone."""

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

import msgspec

from finchshed.bench.roots import RootRecord, roots_of
from finchshed.bench.series import client_repeats, inner_repeats, latency_histograms, timeline
from finchshed.proof.history import (
    Event,
    RunBegan,
    RunEnded,
)
from finchshed.replay.recovery import Period, recovery_seconds


class Measures(msgspec.Struct, kw_only=True):
    """Figures of one run.

    Attributes
    ----------
    goodput_by_kind, offered_by_kind
        Whole requests answered, and root requests arrived, per second of the overload.
    recovery_seconds
        Time from the end of the trigger to 95% of the goodput before it, from then on; None if the
        run ends sooner.
    attempts_mean, attempts_max
        Runs at the deepest service, per visit that the call graph asks for, over root requests
        that reached it.
    answered_share_by_kind
        Of the root requests that arrived during the overload, the share answered in the end.
    timeline
        Whole answers in each quarter of a second, by kind.
    client_repeats, inner_repeats
        Requests sent again in each quarter of a second, by outside clients, and by daemons or back
        ends further down.
    latency_histograms
        Time from a root request's arrival to its whole answer, by kind: HdrHistogram (encoded V2)
        of microseconds.
    wasted_share
        Part of the back ends' running time that went into requests not answered whole.
    """

    offered_by_kind: dict[str, float]
    goodput_by_kind: dict[str, float]
    goodput_before: float
    recovery_seconds: float | None
    attempts_mean: float
    attempts_max: float
    wasted_share: float
    client_attempts_mean: float
    latency_p50: float
    latency_p99: float
    answered_share_by_kind: dict[str, float]
    timeline: dict[str, list[int]]
    client_repeats: list[int] = []
    inner_repeats: list[int] = []
    latency_histograms: dict[str, str] = {}


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """When what happens in a run, and what is measured at the bottom of its call graphs.

    Attributes
    ----------
    before, overload
        Ordinary load ahead of the trigger, and the trigger.
    end
        Time of the last arrival, seconds.
    deep_visits
        Calls of ``deep_service`` that a request of each kind makes.
    """

    before: Period
    overload: Period
    end: float
    deep_service: str
    deep_visits: dict[str, int]


def measure(events: list[Event], plan: Plan) -> Measures:
    """Take the measures of one run."""
    before, overload = plan.before, plan.overload
    roots = roots_of(events, plan.deep_service)
    finished = sorted(root.finished for root in roots.values() if root.good)
    arrived = sorted(root.arrived for root in roots.values())
    before_rate = _count(finished, before) / before.seconds
    reached = [root for root in roots.values() if root.deep_runs]
    attempts = [root.deep_runs / max(plan.deep_visits[root.kind], 1) for root in reached]
    latencies = sorted(root.finished - root.arrived for root in roots.values() if root.good)
    return Measures(
        offered_by_kind=_rate_by_kind(roots, overload, lambda root: root.arrived),
        goodput_by_kind=_rate_by_kind(roots, overload, lambda root: root.finished),
        goodput_before=before_rate,
        recovery_seconds=recovery_seconds(finished, before_rate, overload.end, plan.end, arrived),
        attempts_mean=sum(attempts) / len(attempts) if attempts else 0.0,
        attempts_max=max(attempts, default=0.0),
        wasted_share=_wasted_share(events, roots),
        client_attempts_mean=sum(r.client_attempts for r in roots.values()) / max(len(roots), 1),
        latency_p50=_quantile(latencies, 0.5),
        latency_p99=_quantile(latencies, 0.99),
        answered_share_by_kind=_answered_share_by_kind(roots, overload),
        timeline=timeline(roots, plan.end),
        client_repeats=client_repeats(events, plan.end),
        inner_repeats=inner_repeats(events, plan.end),
        latency_histograms=latency_histograms(roots),
    )


def _count(times: Sequence[float], period: Period) -> int:
    return bisect_left(times, period.end) - bisect_left(times, period.start)


def _rate_by_kind(
    roots: dict[str, RootRecord], period: Period, time_of: Callable[[RootRecord], float]
) -> dict[str, float]:
    counts: dict[str, int] = defaultdict(int)
    for root in roots.values():
        counts[root.kind] += period.start <= time_of(root) < period.end
    return {kind: count / period.seconds for kind, count in sorted(counts.items())}


def _answered_share_by_kind(roots: dict[str, RootRecord], period: Period) -> dict[str, float]:
    """Return, of the requests that arrived in ``period``, the share answered in the end."""
    arrived: dict[str, int] = defaultdict(int)
    answered: dict[str, int] = defaultdict(int)
    for root in roots.values():
        if period.start <= root.arrived < period.end:
            arrived[root.kind] += 1
            answered[root.kind] += root.good
    return {kind: answered[kind] / count for kind, count in sorted(arrived.items())}


def _wasted_share(events: Iterable[Event], roots: dict[str, RootRecord]) -> float:
    began: dict[str, RunBegan] = {}
    total = 0.0
    wasted = 0.0
    for event in events:
        if isinstance(event, RunBegan):
            began[event.run] = event
        elif isinstance(event, RunEnded):
            start = began.pop(event.run)
            seconds = event.time - start.time
            total += seconds
            root = roots.get(start.root)
            if root is None or not root.good:
                wasted += seconds
    return wasted / total if total else 0.0


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return math.nan
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
