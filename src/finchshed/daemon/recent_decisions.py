"""Recent decisions of a daemon, kept in memory for ``finchshed ctl explain``.

Holds the records of the decision log: all failures and refusals, and the sampled successes.
"""

import collections
from typing import TypeAlias

import msgspec

from finchshed.distribution.messages import Decision
from finchshed.observability.decisions import AttemptRecord, CallEnded, RequestEnded

MAX_DECISIONS = 512
"""Number of decisions kept."""

MAX_DETAIL_CHARACTERS = 400
"""Maximum length of a decision's detail; bounds the size of an answer."""

DecisionRecord: TypeAlias = RequestEnded | CallEnded


class _Kept(msgspec.Struct, frozen=True, gc=False):
    """A record and when it was made, monotonic seconds."""

    at: float
    record: DecisionRecord


class RecentDecisions:
    """The last decisions of one process; the oldest is dropped when it is full."""

    def __init__(self, capacity: int = MAX_DECISIONS) -> None:
        self._kept: collections.deque[_Kept] = collections.deque(maxlen=capacity)

    def add(self, record: DecisionRecord, now: float) -> None:
        """Keep a record made at ``now``."""
        self._kept.append(_Kept(now, record))

    def newest(self, root: str, limit: int, now: float) -> tuple[Decision, ...]:
        """Return at most ``limit`` decisions, newest first; an empty ``root`` selects all."""
        found: list[Decision] = []
        for kept in reversed(self._kept):
            if len(found) >= limit:
                break
            if root in ("", kept.record.root, kept.record.id):
                found.append(_decision_of(kept.record, now - kept.at))
        return tuple(found)


def _decision_of(record: DecisionRecord, age_seconds: float) -> Decision:
    if isinstance(record, CallEnded):
        action, endpoint, detail = f"call {record.outcome}", record.instance, _load_text(record)
    else:
        action, endpoint, detail = record.outcome, _last_endpoint(record), _attempts_text(record)
    if record.detail:
        detail = f"{record.detail}; {detail}"
    return Decision(
        age_seconds=age_seconds,
        root=record.root,
        action=action,
        reason=record.reason or str(record.status),
        endpoint=endpoint,
        detail=detail[:MAX_DETAIL_CHARACTERS],
    )


def _last_endpoint(record: RequestEnded) -> str:
    return record.attempts[-1].endpoint if record.attempts else ""


def _load_text(record: CallEnded) -> str:
    ran = "never sent" if record.ran_ms < 0.0 else f"ran {record.ran_ms} ms"
    return (
        f"queued {record.queued_ms} ms, {ran}; rank {record.rank}, threshold {record.threshold},"
        f" running {record.running}, queued {record.queued}, limit {record.limit}"
    )


def _attempts_text(record: RequestEnded) -> str:
    service = record.service or "no service"
    if not record.attempts:
        return f"{service}: no attempt"
    return f"{service}: " + ", ".join(_attempt_text(attempt) for attempt in record.attempts)


def _attempt_text(attempt: AttemptRecord) -> str:
    report = "no report" if attempt.report_ms < 0.0 else f"report {attempt.report_ms} ms old"
    return (
        f"{attempt.endpoint} {attempt.outcome} {attempt.reason} after {attempt.ms} ms"
        f" ({report}, {attempt.in_flight} in flight)"
    )
