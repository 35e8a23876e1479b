"""Series over time and histograms of one run."""

import math
from collections.abc import Iterable
from typing import Final

from hdrh.histogram import HdrHistogram

from finchshed.bench.roots import RootRecord
from finchshed.proof.history import AttemptSent, CallBegan, Event, RunBegan

TIMELINE_STEP_SECONDS: Final = 0.25
MICROSECONDS: Final = 1_000_000


def timeline(roots: dict[str, RootRecord], end: float) -> dict[str, list[int]]:
    """Return whole answers in each step of time, by kind."""
    steps = math.ceil(end / TIMELINE_STEP_SECONDS)
    timeline: dict[str, list[int]] = {}
    for root in roots.values():
        counts = timeline.setdefault(root.kind, [0] * steps)
        if root.finished < end:
            counts[int(root.finished / TIMELINE_STEP_SECONDS)] += 1
    return dict(sorted(timeline.items()))


def client_repeats(events: Iterable[Event], end: float) -> list[int]:
    """Return how often outside clients repeated a request, in each step of time."""
    times: list[float] = []
    seen: set[str] = set()
    for event in events:
        if isinstance(event, CallBegan) and not event.parent:
            if event.root in seen:
                times.append(event.time)
            seen.add(event.root)
    return steps_of(times, end)


def inner_repeats(events: list[Event], end: float) -> list[int]:
    """Count attempts beyond the first of each call; runs, where attempts aren't recorded."""
    kind = AttemptSent if any(isinstance(event, AttemptSent) for event in events) else RunBegan
    times: list[float] = []
    seen: set[str] = set()
    for event in events:
        if isinstance(event, kind):
            if event.call in seen:
                times.append(event.time)
            seen.add(event.call)
    return steps_of(times, end)


def steps_of(times: Iterable[float], end: float) -> list[int]:
    """Return how many of ``times`` fall into each step until ``end``."""
    counts = [0] * math.ceil(end / TIMELINE_STEP_SECONDS)
    for time in times:
        if time < end:
            counts[int(time / TIMELINE_STEP_SECONDS)] += 1
    return counts


def latency_histograms(roots: dict[str, RootRecord]) -> dict[str, str]:
    """Return an encoded histogram of microseconds to the whole answer, by kind."""
    histograms: dict[str, HdrHistogram] = {}
    for root in roots.values():
        histogram = histograms.get(root.kind)
        if histogram is None:
            histogram = histograms[root.kind] = new_histogram()
        if root.good:
            histogram.record_value(int((root.finished - root.arrived) * MICROSECONDS))
    return {kind: held.encode().decode() for kind, held in sorted(histograms.items())}


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds, from one to a minute, three digits kept."""
    return HdrHistogram(1, 60 * MICROSECONDS, 3)
