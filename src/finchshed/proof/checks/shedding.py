"""Under overload, requests of low importance are shed first.

Judged at each service in windows of :data:`WINDOW_SECONDS`. The unit is a root request at a service
in a window: admitted if any of its attempts there was, and shed otherwise. Sheds by the daemons of
callers count as well as those beside the back ends, since a caller's daemon refuses early on behalf
of a service; so do refusals for overload that a caller was told, in histories where daemons record
no decisions of their own. Requests of running sessions are left out: a session was admitted as a
whole, and its requests are not shed whatever their class (:mod:`finchshed.proof.checks.sessions`).

The two classes of a pair are compared within slices of :data:`SLICE_SECONDS`, and the differences
of the slices are weighed as by Mantel and Haenszel (1959): overload begins and ends within a
window, and requests of low importance that were shed at a service before this one are missing from
its overloaded part, so fractions over the whole window would compare different moments. In a window
with a weight of at least :data:`LEAST_WEIGHT`, the more important class must not be admitted to a
smaller fraction than the other by more than :data:`TOLERANCE`. A window counts only once shedding
has gone on for :data:`SETTLE_SECONDS` at the service: the threshold is learnt from measured
queueing delay, so the first shed requests of a surge come from a full queue.

Windows in which another fault than overload is at work (a kill, a freeze, a cut), or was within
:data:`FAULT_MARGIN_SECONDS`, are not judged: there requests are refused because their deadline ran
out behind the fault, whatever their importance.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

import msgspec

from finchshed.common.importance import Importance
from finchshed.common.outcomes import RefusalReason
from finchshed.proof.checks.index import Index, Violation
from finchshed.proof.history import Admission, CallResult

NAME: Final = "shed-order"
WINDOW_SECONDS: Final = 1.0
"""Length of a window, seconds."""
SLICE_SECONDS: Final = 0.1
"""Length of a slice in which classes are compared, seconds."""
LEAST_WEIGHT: Final = 5.0
"""Least weight of a window: that of ten requests of each class in one slice."""

TOLERANCE: Final = 0.15
"""Difference of admitted fractions that is borne."""
SETTLE_SECONDS: Final = 0.5

FAULT_MARGIN_SECONDS: Final = 3.0
FAULT_SECONDS: Final = 5.0
"""How long a fault is taken to last whose end isn't recorded."""

OVERLOAD_FAULTS: Final = frozenset(
    {"slow_service", "slow_endpoint", "slow", "submit", "change", "surge"}
)
"""Faults that overload a service, or don't touch the calls."""

SHED_REASONS: Final = frozenset(
    {RefusalReason.OVERLOAD, RefusalReason.QUEUE_FULL, RefusalReason.DEADLINE}
)
"""Refusals that say a request was shed for overload."""

Window = tuple[str, int]


class _Unit(msgspec.Struct):
    """A root request at a service in a window: when it was first decided on, and how."""

    importance: Importance
    slice: int
    admitted: bool


Units = dict[str, _Unit]


def check(index: Index) -> Iterator[Violation]:
    """Yield windows in which a more important class was shed more than a less important one."""
    windows: dict[Window, Units] = defaultdict(dict)
    shedding: dict[str, _SheddingSpan] = {}
    for admission in _decisions(index):
        span = shedding.setdefault(admission.service, _SheddingSpan())
        if not admission.admitted:
            span.note(admission.time)
        if admission.in_session or not span.is_settled(admission.time):
            continue
        window = (admission.service, int(admission.time / WINDOW_SECONDS))
        units = windows[window]
        held = units.get(admission.root)
        if held is None:
            place = int(admission.time / SLICE_SECONDS)
            units[admission.root] = _Unit(admission.importance, place, admission.admitted)
        elif admission.admitted:
            held.admitted = True
    faults = index.fault_spans(OVERLOAD_FAULTS, FAULT_SECONDS)
    for (service, number), units in windows.items():
        begin = number * WINDOW_SECONDS
        if any(_overlaps(begin, span) for span in faults):
            continue
        yield from _check_window(service, begin, units)


def _overlaps(begin: float, span: tuple[float, float]) -> bool:
    end = begin + WINDOW_SECONDS
    return span[0] - FAULT_MARGIN_SECONDS <= end and begin <= span[1] + FAULT_MARGIN_SECONDS


def _decisions(index: Index) -> list[Admission]:
    """Return what daemons recorded and what callers were told, in order of time."""
    decisions = list(index.admissions)
    for ends in index.call_ends.values():
        for end in ends:
            call = index.calls.get(end.call)
            if call is not None and end.result is CallResult.REFUSED and end.reason in SHED_REASONS:
                session = bool(call.session)
                shed = Admission(
                    end.time, "", call.service, call.root, call.importance, False, session
                )
                decisions.append(shed)
    decisions.sort(key=lambda decision: decision.time)
    return decisions


class _SheddingSpan:
    """The present span of shedding at a service."""

    def __init__(self) -> None:
        self._began = float("inf")
        self._last = float("-inf")

    def note(self, time: float) -> None:
        """Take note of a shed request."""
        if time - self._last > WINDOW_SECONDS:
            self._began = time
        self._last = time

    def is_settled(self, time: float) -> bool:
        """Whether shedding has gone on for a while, and goes on."""
        return time - self._last <= WINDOW_SECONDS and time - self._began >= SETTLE_SECONDS


def _check_window(service: str, time: float, units: Units) -> Iterator[Violation]:
    for high in Importance:
        for low in Importance:
            if low >= high:
                continue
            difference, weight = _difference(units, high, low)
            if weight >= LEAST_WEIGHT and difference > TOLERANCE:
                detail = (
                    f"{high.name} admitted less than {low.name} by {difference:.0%} of the "
                    f"requests at equal times, weight {weight:.1f}"
                )
                yield Violation(NAME, time, service, detail)


def _difference(units: Units, high: Importance, low: Importance) -> tuple[float, float]:
    """Return by how much ``low`` was admitted to a greater fraction, and the weight of that."""
    counts: dict[int, list[int]] = defaultdict(lambda: [0, 0, 0, 0])
    for unit in units.values():
        if unit.importance in (high, low):
            offset = 0 if unit.importance is high else 2
            counts[unit.slice][offset] += unit.admitted
            counts[unit.slice][offset + 1] += 1
    total = 0.0
    weight = 0.0
    for admitted_high, count_high, admitted_low, count_low in counts.values():
        if count_high and count_low:
            slice_weight = count_high * count_low / (count_high + count_low)
            total += slice_weight * (admitted_low / count_low - admitted_high / count_high)
            weight += slice_weight
    return (total / weight if weight else 0.0), weight
