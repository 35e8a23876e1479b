"""A leaving back end gets no new work after a while, and a planned stop cuts nothing."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from finchshed.proof.checks.index import Index, LeavingSpan, Violation
from finchshed.proof.history import CallResult, ControlReachable, PlannedStop, RunBegan, RunResult

NAME_LEAVING: Final = "leaving"
NAME_STOP: Final = "planned-stop"

NEEDS_CONTROL: Final = frozenset({"operator", "platform"})
"""Signs that reach daemons through the control nodes only."""

ANSWER_SECONDS: Final = 0.5
"""After a run's end its answer must have reached the caller within this time."""


def check_leaving(index: Index) -> Iterator[Violation]:
    """Yield work that a leaving back end began later than the bound.

    Work counts from when its attempt was sent, where that is recorded, and else from when it began
    to run: a request may have waited at the endpoint. Work of a session that ran there before is no
    new work. A sign that comes through the control
    nodes counts from the time the back end's own daemon could hear it.
    """
    runs = _runs_by_endpoint(index)
    unreachable = _unreachable_spans(index)
    bound = index.header.leaving_bound_seconds
    for span in index.leaving_spans:
        sessions = {run.session for run in runs[span.endpoint] if run.time < span.begin}
        for run in runs[span.endpoint]:
            sent = _sent_at(index, run)
            if not span.begin + bound < sent < span.end:
                continue
            if run.session and run.session in sessions:
                continue
            if span.sign in NEEDS_CONTROL and _excused(span, run, unreachable, bound):
                continue
            detail = f"run {run.run} was sent {sent - span.begin:.2f} s after sign {span.sign!r}"
            yield Violation(NAME_LEAVING, run.time, span.endpoint, detail)


def check_planned_stop(index: Index) -> Iterator[Violation]:
    """Yield requests in progress that a planned stop cut.

    Stops during which another fault struck the same back end are not judged for cut runs, and
    those with any other fault are not judged for lost answers.
    """
    runs = _runs_by_endpoint(index)
    for stop in (event for event in index.events if isinstance(event, PlannedStop)):
        if not stop.endpoint:
            continue
        end = _end_of_stop(index, stop)
        faults = [
            fault
            for fault in index.faults_between(stop.time - 1.0, end, stop.endpoint)
            if fault.fault != "stop_planned"
        ]
        if faults:
            continue
        for run in runs[stop.endpoint]:
            ended = index.run_ends.get(run.run)
            in_stop = ended is not None and stop.time <= ended.time <= end
            if ended is None or not in_stop:
                continue
            if ended.result is RunResult.CRASHED:
                yield Violation(NAME_STOP, ended.time, stop.endpoint, f"run {run.run} was cut")
            elif ended.result is RunResult.FINISHED:
                yield from _check_answered(index, stop, run, ended.time)


def _check_answered(
    index: Index, stop: PlannedStop, run: RunBegan, ended: float
) -> Iterator[Violation]:
    if any(
        fault.fault != "stop_planned"
        for fault in index.faults_between(stop.time - 2.0, ended + ANSWER_SECONDS)
    ):
        return
    for end in index.call_ends.get(run.call, ()):
        late = end.time < ended
        if end.result is CallResult.FAILED and not late and end.reason == "link_broken":
            detail = f"the answer of run {run.run} was lost to a broken link"
            yield Violation(NAME_STOP, end.time, stop.endpoint, detail)


def _sent_at(index: Index, run: RunBegan) -> float:
    times = [
        attempt.time
        for attempt in index.attempts_of_call.get(run.call, ())
        if attempt.endpoint == run.endpoint and attempt.time <= run.time
    ]
    return max(times, default=run.time)


def _runs_by_endpoint(index: Index) -> dict[str, list[RunBegan]]:
    runs: dict[str, list[RunBegan]] = defaultdict(list)
    for run in index.runs.values():
        runs[run.endpoint].append(run)
    return runs


def _end_of_stop(index: Index, stop: PlannedStop) -> float:
    for span in index.leaving_spans:
        if span.endpoint == stop.endpoint and span.begin <= stop.time < span.end:
            return span.end
    return float("inf")


def _unreachable_spans(index: Index) -> dict[str, list[tuple[float, float]]]:
    """Return the times in which each node couldn't reach a majority of the control nodes."""
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    lost: dict[str, float] = {}
    for event in index.events:
        if not isinstance(event, ControlReachable):
            continue
        if not event.reachable:
            lost.setdefault(event.node, event.time)
        elif event.node in lost:
            spans[event.node].append((lost.pop(event.node), event.time))
    for node, time in lost.items():
        spans[node].append((time, float("inf")))
    return spans


def _excused(
    span: LeavingSpan,
    run: RunBegan,
    unreachable: dict[str, list[tuple[float, float]]],
    bound: float,
) -> bool:
    return any(
        begin <= run.time and span.begin - bound <= end and run.time <= end + bound
        for begin, end in unreachable.get(span.endpoint, ())
    )
