"""Sessions already running come through whole: their requests aren't shed.

A session runs once a request of it was answered. From then on no request of it that comes from
outside may be refused for overload or because of a bound on sessions, unless another fault than
overload is at work, or was within :data:`FAULT_MARGIN_SECONDS`: a back end that died took its
sessions with it, and they are admitted anew.
"""

from collections.abc import Iterator
from typing import Final

from finchshed.common.outcomes import RefusalReason
from finchshed.proof.checks.index import Index, Violation
from finchshed.proof.checks.shedding import FAULT_MARGIN_SECONDS, FAULT_SECONDS, OVERLOAD_FAULTS
from finchshed.proof.history import CallEnded, CallResult

NAME: Final = "sessions"
SERVED_STATUSES: Final = frozenset({200, 206})
"""Answers that a session's work is in: the whole, or a range of a download."""

DROPPING: Final = frozenset(
    {
        RefusalReason.OVERLOAD,
        RefusalReason.QUEUE_FULL,
        RefusalReason.SESSION_LIMIT,
        RefusalReason.DRAINING,
    }
)
"""Refusals that drop a running session's request."""


def check(index: Index) -> Iterator[Violation]:
    """Yield requests of running sessions that were refused."""
    running: dict[str, float] = {}
    faults = index.fault_spans(OVERLOAD_FAULTS, FAULT_SECONDS)
    for event in index.events:
        if not isinstance(event, CallEnded):
            continue
        call = index.calls.get(event.call)
        if call is None or call.parent or not call.session:
            continue
        if is_served(event):
            running.setdefault(call.session, event.time)
        began = running.get(call.session)
        dropped = event.result is CallResult.REFUSED and event.reason in DROPPING
        if not dropped or began is None or call.time < began:
            continue
        if any(_near(event.time, span) for span in faults):
            continue
        detail = f"request of session {call.session}, running since {began:.2f} s: {event.reason}"
        yield Violation(NAME, event.time, event.call, detail)


def is_served(ended: CallEnded) -> bool:
    """Return whether a request's end gave a session what it asked for."""
    return ended.result is CallResult.ANSWERED and ended.status in SERVED_STATUSES


def _near(time: float, span: tuple[float, float]) -> bool:
    return span[0] - FAULT_MARGIN_SECONDS <= time <= span[1] + FAULT_MARGIN_SECONDS
