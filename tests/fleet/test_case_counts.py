"""Case counts of the history checkers."""

from finchshed.common.importance import Importance
from finchshed.fleet.case_counts import CASE_COUNTERS
from finchshed.proof.checks import CHECKS, sessions
from finchshed.proof.checks.index import Index
from finchshed.proof.history import CallBegan, CallEnded, CallResult, Event
from finchshed.proof.history_file import Header, History


def download(number: int, session: str, status: int) -> list[Event]:
    call = f"download-{number}/0"
    result = CallResult.ANSWERED if status < 400 else CallResult.REFUSED
    reason = "" if status < 400 else "overload"
    return [
        CallBegan(
            time=number,
            call=call,
            root=call,
            service="charts",
            importance=Importance.NORMAL,
            session=session,
        ),
        CallEnded(time=number + 0.5, call=call, result=result, reason=reason, status=status),
    ]


def index_of(*events: list[Event]) -> Index:
    header = Header(schema=1, source="fleet", scenario="test", seed=1, version="0")
    return Index(History(header, [event for pair in events for event in pair]))


def test_every_checker_has_a_case_counter() -> None:
    assert list(CASE_COUNTERS) == list(CHECKS)


def test_only_answered_session_requests_count_as_cases() -> None:
    index = index_of(download(1, "s", 206), download(2, "", 206), download(3, "s", 503))
    assert CASE_COUNTERS[sessions.NAME](index) == 1


def test_refused_range_of_a_served_session_is_a_violation() -> None:
    index = index_of(download(1, "s", 206), download(2, "s", 503))
    assert [violation.subject for violation in sessions.check(index)] == ["download-2/0"]
