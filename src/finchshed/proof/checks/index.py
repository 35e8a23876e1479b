"""A history sorted by what the checkers look things up by, and their findings."""

from collections import defaultdict
from functools import cached_property

import msgspec

from finchshed.proof.history import (
    Admission,
    AttemptSent,
    CallBegan,
    CallEnded,
    EndpointLeaving,
    EndpointReturned,
    Event,
    Fault,
    RunBegan,
    RunEnded,
)
from finchshed.proof.history_file import Header, History


class Violation(msgspec.Struct, frozen=True):
    """A property that the history breaks.

    Attributes
    ----------
    check
        Name of the checker.
    time
        Seconds since the start of the history.
    subject
        Name of the call, run, endpoint, node or change concerned.
    """

    check: str
    time: float
    subject: str
    detail: str

    def __str__(self) -> str:
        """Return one line for people."""
        return f"{self.check}: {self.time:.3f} s: {self.subject}: {self.detail}"


class Index:
    """A history's events by kind and identity. Events are in order of time."""

    def __init__(self, history: History) -> None:
        self.header: Header = history.header
        self.events: list[Event] = history.events
        self.end = history.events[-1].time if history.events else 0.0
        self.calls: dict[str, CallBegan] = {}
        self.call_ends: dict[str, list[CallEnded]] = defaultdict(list)
        self.runs: dict[str, RunBegan] = {}
        self.run_ends: dict[str, RunEnded] = {}
        self.runs_of_call: dict[str, list[RunBegan]] = defaultdict(list)
        self.attempts_of_call: dict[str, list[AttemptSent]] = defaultdict(list)
        self.admissions: list[Admission] = []
        self.faults: list[Fault] = []
        for event in history.events:
            self._add(event)

    def _add(self, event: Event) -> None:
        match event:
            case CallBegan():
                self.calls[event.call] = event
            case CallEnded():
                self.call_ends[event.call].append(event)
            case RunBegan():
                self.runs[event.run] = event
                self.runs_of_call[event.call].append(event)
            case RunEnded():
                self.run_ends[event.run] = event
            case AttemptSent():
                self.attempts_of_call[event.call].append(event)
            case Admission():
                self.admissions.append(event)
            case Fault():
                self.faults.append(event)

    @cached_property
    def children(self) -> dict[str, list[CallBegan]]:
        """Calls that each run made."""
        children: dict[str, list[CallBegan]] = defaultdict(list)
        for call in self.calls.values():
            if call.parent:
                children[call.parent].append(call)
        return children

    @cached_property
    def outside_calls(self) -> list[CallBegan]:
        """Calls that came from outside, in order of time."""
        return [call for call in self.calls.values() if not call.parent]

    def tree_of(self, call: str) -> list[str]:
        """Return ``call`` and every call made for it further down."""
        found = [call]
        for name in found:
            for run in self.runs_of_call.get(name, ()):
                found.extend(child.call for child in self.children.get(run.run, ()))
        return found

    @cached_property
    def leaving_spans(self) -> list["LeavingSpan"]:
        """Times between the first sign that an endpoint leaves and its return."""
        spans: list[LeavingSpan] = []
        open_spans: dict[str, LeavingSpan] = {}
        for event in self.events:
            if isinstance(event, EndpointLeaving) and event.endpoint not in open_spans:
                span = LeavingSpan(event.endpoint, event.sign, event.time, float("inf"))
                open_spans[event.endpoint] = span
                spans.append(span)
            elif isinstance(event, EndpointReturned) and event.endpoint in open_spans:
                open_spans.pop(event.endpoint).end = event.time
        return spans

    def fault_spans(self, ignored: frozenset[str], seconds: float) -> list[tuple[float, float]]:
        """Return the times of faults of kinds not ``ignored``.

        A fault whose end isn't recorded is taken to last ``seconds``.
        """
        spans: list[tuple[float, float]] = []
        open_faults: dict[tuple[str, tuple[str, ...]], float] = {}
        for fault in self.faults:
            if fault.fault in ignored:
                continue
            key = (fault.fault, fault.targets)
            if not fault.ended:
                open_faults[key] = fault.time
            elif key in open_faults:
                spans.append((open_faults.pop(key), fault.time))
        spans.extend((begin, begin + seconds) for begin in open_faults.values())
        return spans

    def faults_between(self, begin: float, end: float, target: str = "") -> list[Fault]:
        """Return faults active at some time in ``begin .. end``, of ``target`` if given."""
        found: list[Fault] = []
        open_faults: dict[tuple[str, tuple[str, ...]], Fault] = {}
        for fault in self.faults:
            if fault.time > end:
                break
            if target and target not in fault.targets:
                continue
            key = (fault.fault, fault.targets)
            if not fault.ended:
                open_faults[key] = fault
                continue
            began = open_faults.pop(key, None)
            if began is not None and fault.time >= begin:
                found.append(began)
        return [*found, *open_faults.values()]


class LeavingSpan(msgspec.Struct):
    """Time in which an endpoint leaves; ``end`` is infinite if it doesn't return."""

    endpoint: str
    sign: str
    begin: float
    end: float
