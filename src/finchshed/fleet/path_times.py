"""Splits the latency of answered calls into time at the backend and all other time."""

import collections
from collections.abc import Mapping, Sequence

import msgspec

from finchshed.common.units import MILLISECONDS
from finchshed.fleet.summary import percentile
from finchshed.proof.checks.index import Index
from finchshed.proof.history import CallBegan, CallResult

NESTED = "calls on"


class PathTimes(msgspec.Struct):
    """Durations of the answered calls of one kind, in seconds.

    Attributes
    ----------
    backend_seconds
        Time from start to end of the run, including downstream calls.
    overhead_seconds
        Remaining latency: HTTP, links, daemon queues and the network delay of clients.
    """

    backend_seconds: list[float] = msgspec.field(default_factory=list)
    overhead_seconds: list[float] = msgspec.field(default_factory=list)


def measure_path_times(index: Index) -> dict[str, PathTimes]:
    """Return the durations of calls that exactly one run answered, by kind of call.

    All downstream calls are grouped under :data:`NESTED`.
    """
    times: dict[str, PathTimes] = collections.defaultdict(PathTimes)
    for name, call in index.calls.items():
        durations = _split_latency(index, name, call)
        if durations is None:
            continue
        kind = NESTED if call.parent else call.kind
        times[kind].backend_seconds.append(durations[0])
        times[kind].overhead_seconds.append(durations[1])
    return dict(times)


def format_path_times(times: Mapping[str, PathTimes]) -> list[str]:
    """Return a summary line for each kind of call."""
    lines = []
    for kind in sorted(times):
        backend = _format_percentiles(times[kind].backend_seconds)
        overhead = _format_percentiles(times[kind].overhead_seconds)
        lines.append(f"{kind}: at the back end {backend}, on the way {overhead}")
    return lines


def _split_latency(index: Index, name: str, call: CallBegan) -> tuple[float, float] | None:
    """Return backend and overhead seconds; None unless exactly one run answered the call."""
    ends = index.call_ends.get(name, [])
    runs = index.runs_of_call.get(name, [])
    if len(ends) != 1 or len(runs) != 1 or ends[0].result is not CallResult.ANSWERED:
        return None
    ended = index.run_ends.get(runs[0].run)
    if ended is None:
        return None
    backend_duration = ended.time - runs[0].time
    return backend_duration, ends[0].time - call.time - backend_duration


def _format_percentiles(values: Sequence[float]) -> str:
    texts = [
        f"p{fraction * 100:g} {percentile(values, fraction) * MILLISECONDS:.1f}"
        for fraction in (0.5, 0.99)
    ]
    return " ".join(texts) + " ms"
