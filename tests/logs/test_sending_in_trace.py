"""A trace tells which sending of a call was answered, and by what it counts as not run."""

import json
from pathlib import Path

from finchshed.logs.reading import LogLine
from finchshed.logs.request_trace import describe, trace_of

CALL_ENDED = {
    "event": "call_ended",
    "time": 1.0,
    "id": "r1",
    "instance": "i-1",
    "outcome": "refused",
    "reason": "backend_refused",
    "queued_ms": 0.0,
    "sending": {"connection": 4, "request": 12, "status": 503, "not_run": "header"},
}
EXTRA = {
    "event": "extra_answer",
    "time": 0.9,
    "id": "r1",
    "connection": 4,
    "request": 12,
    "size": 90,
    "named": "r0",
}


def lines(*records: dict[str, object]) -> list[LogLine]:
    return [LogLine("daemon.log", "", json.loads(json.dumps(record))) for record in records]


def test_the_sending_and_its_mark_are_told() -> None:
    told = "\n".join(describe(trace_of("r1", lines(CALL_ENDED))))
    assert "request 12 on connection 4: answer 503, not run by its header" in told


def test_an_answer_that_wasnt_taken_is_told() -> None:
    broken = CALL_ENDED | {"outcome": "failed", "sending": {"connection": 4, "request": 12}}
    told = "\n".join(describe(trace_of("r1", lines(broken))))
    assert "request 12 on connection 4: no answer taken" in told


def test_extra_answers_are_told_to_both_requests_they_concern() -> None:
    for identity in ("r0", "r1"):
        told = "\n".join(describe(trace_of(identity, lines(EXTRA))))
        assert "extra answer of 90 bytes at request 12 on connection 4" in told
    assert "extra answer" not in "\n".join(describe(trace_of("r2", lines(EXTRA))))


def test_the_page_of_operations_names_the_line() -> None:
    page = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
    assert "`extra_answer`" in page.read_text()
