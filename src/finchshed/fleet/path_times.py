"""Where the time of answered requests went: at the back end, or on the way to it and back."""

import collections
from collections.abc import Mapping, Sequence

import msgspec

from finchshed.common.units import MILLISECONDS
from finchshed.fleet.summary import percentile
from finchshed.proof.checks.index import Index
from finchshed.proof.history import CallBegan, CallResult

NESTED = "calls on"


class PathTimes(msgspec.Struct):
    """Times of the answered calls of one kind, seconds.

    Attributes
    ----------
    at_back_end
        From the start of the run to its end, with the calls it made on.
    on_the_way
        All else: HTTP, links, queues of the daemons, the distance of the clients.
    """

    at_back_end: list[float] = msgspec.field(default_factory=list)
    on_the_way: list[float] = msgspec.field(default_factory=list)


def path_times_of(index: Index) -> dict[str, PathTimes]:
    """Return the times of the calls that one run answered, by the kind of outside call.

    Calls that back ends make on stand together under :data:`NESTED`.
    """
    times: dict[str, PathTimes] = collections.defaultdict(PathTimes)
    for name, call in index.calls.items():
        durations = _durations_of(index, name, call)
        if durations is None:
            continue
        kind = NESTED if call.parent else call.kind
        times[kind].at_back_end.append(durations[0])
        times[kind].on_the_way.append(durations[1])
    return dict(times)


def lines_of(times: Mapping[str, PathTimes]) -> list[str]:
    """Return a line for each kind of call, for people."""
    lines = []
    for kind in sorted(times):
        at_back_end = _percentiles(times[kind].at_back_end)
        on_the_way = _percentiles(times[kind].on_the_way)
        lines.append(f"{kind}: at the back end {at_back_end}, on the way {on_the_way}")
    return lines


def _durations_of(index: Index, name: str, call: CallBegan) -> tuple[float, float] | None:
    """Return seconds at the back end and on the way; None if no single run answered the call."""
    ends = index.call_ends.get(name, [])
    runs = index.runs_of_call.get(name, [])
    if len(ends) != 1 or len(runs) != 1 or ends[0].result is not CallResult.ANSWERED:
        return None
    ended = index.run_ends.get(runs[0].run)
    if ended is None:
        return None
    served = ended.time - runs[0].time
    return served, ends[0].time - call.time - served


def _percentiles(values: Sequence[float]) -> str:
    texts = [
        f"p{fraction * 100:g} {percentile(values, fraction) * MILLISECONDS:.1f}"
        for fraction in (0.5, 0.99)
    ]
    return " ".join(texts) + " ms"
