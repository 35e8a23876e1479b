"""Checkers: one for each property that must always hold, over a typed history."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Final

from finchshed.proof.checks import (
    answers,
    configuration,
    leaving,
    retries,
    runs,
    sessions,
    shedding,
)
from finchshed.proof.checks.index import Index, Violation
from finchshed.proof.history_file import History

Check = Callable[[Index], Iterator[Violation]]

CHECKS: Final[Mapping[str, Check]] = {
    retries.NAME: retries.check,
    shedding.NAME: shedding.check,
    sessions.NAME: sessions.check,
    answers.NAME: answers.check,
    answers.NAME_ENDS: answers.check_ends,
    runs.NAME_REFUSED: runs.check_refused,
    runs.NAME_ONCE: runs.check_once,
    leaving.NAME_LEAVING: leaving.check_leaving,
    leaving.NAME_STOP: leaving.check_planned_stop,
    configuration.NAME: configuration.check,
}
"""Every checker by its name."""


def violations_of(history: History, names: Iterable[str] = CHECKS) -> list[Violation]:
    """Return what ``history`` breaks of the properties named, in the checkers' order."""
    index = Index(history)
    return [violation for name in names for violation in CHECKS[name](index)]
