"""Every checker of a history says over how many cases it judged."""

from finchshed.common.importance import Importance
from finchshed.fleet.coverage import CASES
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


def test_every_checker_has_a_count() -> None:
    assert list(CASES) == list(CHECKS)


def test_only_answered_requests_of_sessions_count_as_cases() -> None:
    index = index_of(download(1, "s", 206), download(2, "", 206), download(3, "s", 503))
    assert CASES[sessions.NAME](index) == 1


def test_a_download_in_ranges_is_a_running_session() -> None:
    index = index_of(download(1, "s", 206), download(2, "s", 503))
    assert [violation.subject for violation in sessions.check(index)] == ["download-2/0"]
