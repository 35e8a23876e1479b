"""Small histories for the tests of the checkers."""

from finchshed.common.importance import Importance
from finchshed.proof.checks import CHECKS
from finchshed.proof.checks.index import Index, Violation
from finchshed.proof.history import (
    Admission,
    CallBegan,
    CallEnded,
    CallResult,
    Event,
    RunBegan,
    RunEnded,
    RunResult,
)
from finchshed.proof.history_file import SCHEMA_VERSION, Header, History

HEADER = Header(SCHEMA_VERSION, "emulator", "test", 1, "0", retry_budget=2)


def found(check: str, *events: Event) -> list[Violation]:
    """Return what one checker finds in a history of ``events``."""
    ordered = sorted(events, key=lambda event: event.time)
    return list(CHECKS[check](Index(History(HEADER, ordered))))


def call(time: float, name: str = "r1/1", root: str = "r1", parent: str = "") -> CallBegan:
    return CallBegan(time, name, root, "s", Importance.NORMAL, parent=parent)


def answered(time: float, name: str = "r1/1", root: str = "r1", whole: bool = True) -> CallEnded:
    return CallEnded(time, name, CallResult.ANSWERED, "", 200, root, whole)


def refused(time: float, name: str = "r1/1") -> CallEnded:
    return CallEnded(time, name, CallResult.REFUSED, "overload")


def failed(time: float, name: str = "r1/1", reason: str = "link_broken") -> CallEnded:
    return CallEnded(time, name, CallResult.FAILED, reason)


def run(
    time: float,
    name: str = "e1#1",
    of: str = "r1/1",
    root: str = "r1",
    *,
    key: str = "",
    session: str = "",
) -> RunBegan:
    return RunBegan(time, name, of, root, "s", name.split("#", maxsplit=1)[0], key, session)


def finished(time: float, name: str = "e1#1") -> RunEnded:
    return RunEnded(time, name, RunResult.FINISHED)


def crashed(time: float, name: str = "e1#1") -> RunEnded:
    return RunEnded(time, name, RunResult.CRASHED)


def admissions(
    begin: float, importance: Importance, admitted: int, shed: int, end: float = 1.0
) -> list[Admission]:
    """Return decisions spread evenly from ``begin`` to ``end``."""
    total = admitted + shed
    step = (end - begin) / total
    return [
        Admission(
            begin + step * number,
            "e1",
            "s",
            f"{importance.name}-{begin}-{number}",
            importance,
            number % total < admitted,
        )
        for number in range(total)
    ]
