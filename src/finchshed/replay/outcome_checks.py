"""Checks a history against expected outcomes.

Only events are read, so histories of the emulator and of a fleet can both be checked.
"""

import math
from collections.abc import Iterator

import msgspec

from finchshed.common.importance import Importance
from finchshed.proof.checks import CHECKS, violations_of
from finchshed.proof.history import (
    CallBegan,
    CallEnded,
    CallResult,
    ChangeAnswered,
    RevisionInForce,
    RunBegan,
)
from finchshed.proof.history_file import History
from finchshed.replay.outcomes import (
    ALL,
    ChangeOutcome,
    ClassOutcome,
    OutcomeLine,
    Outcomes,
    PropertyOutcome,
    RecoveryOutcome,
    RequestOutcome,
    RevisionOutcome,
)
from finchshed.replay.recovery import RECOVERED_FRACTION, recovery_seconds

ERROR_STATUS = 400
"""Lowest HTTP status of an error (RFC 9110, 15)."""
P99_FRACTION = 0.99


class StatementVerdict(msgspec.Struct, frozen=True):
    """Result of checking one statement; ``problems`` is empty if it holds."""

    line: int
    statement: str
    problems: tuple[str, ...]


class RequestRecord(msgspec.Struct):
    """Result of one root request over all attempts of its client."""

    root: str
    kind: str
    importance: Importance
    service: str
    arrived: float
    attempts: int = 0
    answered: float = math.inf
    last_result: str = "abandoned"
    last_reason: str = ""
    runs: int = 0

    @property
    def result(self) -> str:
        """``answered``, or the result of the last attempt."""
        return "answered" if self.answered < math.inf else self.last_result


def check_outcomes(history: History, outcomes: Outcomes) -> list[StatementVerdict]:
    """Return a verdict for each statement, in the order of the file."""
    checker = _OutcomeChecker(history)
    verdicts = []
    for line, statement in outcomes.statements:
        problems = tuple(checker.problems_of(statement))
        verdicts.append(StatementVerdict(line, _statement_json(statement), problems))
    return verdicts


def request_records(history: History) -> dict[str, RequestRecord]:
    """Return the record of each root request, by its name."""
    records: dict[str, RequestRecord] = {}
    root_of_call: dict[str, str] = {}
    for event in history.events:
        match event:
            case CallBegan() if not event.parent:
                record = records.get(event.root)
                if record is None:
                    record = RequestRecord(
                        event.root, event.kind, event.importance, event.service, event.time
                    )
                    records[event.root] = record
                record.attempts += 1
                root_of_call[event.call] = event.root
            case CallEnded() if event.call in root_of_call:
                _record_call_end(records[root_of_call[event.call]], event)
            case RunBegan() if event.call in root_of_call:
                records[root_of_call[event.call]].runs += 1
    return records


def _record_call_end(record: RequestRecord, event: CallEnded) -> None:
    is_answer = event.result is CallResult.ANSWERED
    if is_answer and event.whole and event.status < ERROR_STATUS:
        record.answered = min(record.answered, event.time)
        return
    record.last_result = "failed" if is_answer else event.result.value
    record.last_reason = f"status {event.status}" if is_answer else event.reason


class _OutcomeChecker:
    def __init__(self, history: History) -> None:
        self._history = history
        self._records = request_records(history)

    def problems_of(self, statement: OutcomeLine) -> Iterator[str]:
        """Yield the reasons why a statement doesn't hold."""
        match statement:
            case RequestOutcome():
                return self._request(statement)
            case ClassOutcome():
                return self._class(statement)
            case PropertyOutcome():
                return self._property(statement)
            case RecoveryOutcome():
                return self._recovery(statement)
            case ChangeOutcome():
                return self._change(statement)
            case RevisionOutcome():
                return self._revision(statement)

    def _request(self, stated: RequestOutcome) -> Iterator[str]:
        record = self._records.get(stated.root)
        if record is None:
            yield "the request was not sent"
            return
        if stated.result not in ("any", record.result):
            yield f"it was {record.result} ({record.last_reason or 'no reason'})"
        if stated.reason and stated.reason != record.last_reason:
            yield f"the reason was {record.last_reason!r}"
        seconds = record.answered - record.arrived
        if stated.within_seconds is not None and seconds > stated.within_seconds:
            yield f"it took {seconds:.3f} s"
        if stated.runs_at_most is not None and record.runs > stated.runs_at_most:
            yield f"it ran {record.runs} times"
        if stated.runs_at_least is not None and record.runs < stated.runs_at_least:
            yield f"it ran {record.runs} times"

    def _class(self, stated: ClassOutcome) -> Iterator[str]:
        records = [
            record
            for record in self._records.values()
            if stated.begin <= record.arrived < stated.end
            and stated.matches(record.importance, record.kind)
        ]
        count = len(records)
        if count < max(stated.arrived_at_least, 1):
            yield f"{count} requests arrived"
            return
        fractions = {
            result: sum(record.result == result for record in records) / count
            for result in ("answered", "refused", "failed")
        }
        answered = fractions["answered"]
        if stated.answered_at_least is not None and answered < stated.answered_at_least:
            yield f"{answered:.1%} of {count} were answered"
        if stated.answered_at_most is not None and answered > stated.answered_at_most:
            yield f"{answered:.1%} of {count} were answered"
        if stated.refused_at_most is not None and fractions["refused"] > stated.refused_at_most:
            yield f"{fractions['refused']:.1%} of {count} were refused"
        if stated.failed_at_most is not None and fractions["failed"] > stated.failed_at_most:
            yield f"{fractions['failed']:.1%} of {count} failed"
        yield from self._class_figures(stated, records)

    @staticmethod
    def _class_figures(stated: ClassOutcome, records: list[RequestRecord]) -> Iterator[str]:
        if stated.p99_seconds_at_most is not None:
            latencies = sorted(
                record.answered - record.arrived for record in records if record.answered < math.inf
            )
            if not latencies:
                yield "none was answered"
            else:
                p99 = latencies[min(int(P99_FRACTION * len(latencies)), len(latencies) - 1)]
                if p99 > stated.p99_seconds_at_most:
                    yield f"99 in 100 took {p99:.3f} s"
        if stated.attempts_mean_at_most is not None:
            mean = sum(record.attempts for record in records) / len(records)
            if mean > stated.attempts_mean_at_most:
                yield f"{mean:.2f} attempts a request"

    def _property(self, stated: PropertyOutcome) -> Iterator[str]:
        names = CHECKS if stated.check == ALL else (stated.check,)
        for violation in violations_of(self._history, names):
            yield str(violation)

    def _recovery(self, stated: RecoveryOutcome) -> Iterator[str]:
        finished = sorted(
            record.answered for record in self._records.values() if record.answered < math.inf
        )
        length = stated.before_end - stated.before_begin
        if length <= 0.0:
            yield "before_end must be after before_begin"
            return
        count = sum(stated.before_begin <= time < stated.before_end for time in finished)
        arrived = sorted(record.arrived for record in self._records.values())
        end = arrived[-1] if arrived else 0.0
        before = count / length * stated.share / RECOVERED_FRACTION
        seconds = recovery_seconds(finished, before, stated.after, end, arrived)
        if seconds is None:
            yield "goodput did not come back before the last arrival"
        elif seconds > stated.within_seconds:
            yield f"goodput came back after {seconds:.2f} s"

    def _change(self, stated: ChangeOutcome) -> Iterator[str]:
        accepted = {
            event.change_id
            for event in self._history.events
            if isinstance(event, ChangeAnswered)
            and event.result == "accepted"
            and event.change_id.startswith(stated.change_id)
        }
        count = len(accepted)
        if stated.accepted is not None and count != stated.accepted:
            yield f"{count} were accepted"
        if stated.accepted_at_least is not None and count < stated.accepted_at_least:
            yield f"{count} were accepted"

    def _revision(self, stated: RevisionOutcome) -> Iterator[str]:
        last: dict[str, int] = {}
        for event in self._history.events:
            if isinstance(event, RevisionInForce):
                last[event.node] = event.revision
        if stated.node:
            last = {stated.node: last.get(stated.node, 0)}
        for node, revision in sorted(last.items()):
            if revision < stated.at_least:
                yield f"{node} holds revision {revision}"


def _statement_json(statement: OutcomeLine) -> str:
    return msgspec.json.encode(statement).decode()
