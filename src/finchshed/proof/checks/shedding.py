"""Under overload, requests of low importance are shed first.

Judged at each service in windows of :data:`WINDOW_SECONDS`. The unit is a root request at a service
in a window: admitted if any of its attempts there was, and shed otherwise. Sheds by the daemons of
callers count as well as those beside the back ends, since a caller's daemon refuses early on behalf
of a service; so do refusals for overload that a caller was told, in histories where daemons record
no decisions of their own.

In a window with at least :data:`LEAST_COUNT` units of two classes, the more important class must
not be admitted to a smaller share than the other by more than :data:`TOLERANCE`. A window counts
only once shedding has gone on for :data:`SETTLE_SECONDS` at the service: the threshold is learnt
from measured queueing delay, so the first shed requests of a surge come from a full queue.

Windows in which another fault than overload is at work (a kill, a freeze, a cut), or was within
:data:`FAULT_MARGIN_SECONDS`, are not judged: there requests are refused because their deadline ran
out behind the fault, whatever their importance.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from finchshed.common.importance import Importance
from finchshed.common.outcomes import RefusalReason
from finchshed.proof.checks.index import Index, Violation
from finchshed.proof.history import Admission, CallResult

NAME: Final = "shed-order"
WINDOW_SECONDS: Final = 1.0
LEAST_COUNT: Final = 10
TOLERANCE: Final = 0.15
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
Units = dict[tuple[Importance, str], bool]


def check(index: Index) -> Iterator[Violation]:
    """Yield windows in which a more important class was shed more than a less important one."""
    windows: dict[Window, Units] = defaultdict(dict)
    shedding: dict[str, _SheddingSpan] = {}
    for admission in _decisions(index):
        span = shedding.setdefault(admission.service, _SheddingSpan())
        if not admission.admitted:
            span.note(admission.time)
        if not span.is_settled(admission.time):
            continue
        window = (admission.service, int(admission.time / WINDOW_SECONDS))
        key = (admission.importance, admission.root)
        units = windows[window]
        units[key] = units.get(key, False) or admission.admitted
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
                shed = Admission(end.time, "", call.service, call.root, call.importance, False)
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
    counts: dict[Importance, list[int]] = defaultdict(lambda: [0, 0])
    for (importance, _), admitted in units.items():
        counts[importance][0] += admitted
        counts[importance][1] += 1
    shares = {
        importance: admitted / total
        for importance, (admitted, total) in counts.items()
        if total >= LEAST_COUNT
    }
    for high, share in shares.items():
        for low, low_share in shares.items():
            if low < high and low_share > share + TOLERANCE:
                detail = (
                    f"{high.name} admitted to {share:.0%} of {counts[high][1]}, "
                    f"{low.name} to {low_share:.0%} of {counts[low][1]}"
                )
                yield Violation(NAME, time, service, detail)
