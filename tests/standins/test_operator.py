"""Operators who make one change after another wait for their answers; racing ones don't."""

import pathlib
import threading

import pytest

from finchshed.configuration.changes import Accepted, ChangeResult, Conflict
from finchshed.configuration.resources import Policy
from finchshed.ctl.changes import DeclaredConfiguration
from finchshed.standins import operator
from finchshed.standins.operator import POLICY, ChangeOutcome, OperatorRecord, run_operator
from finchshed.standins.records import monotonic, read_records
from finchshed.standins.settings import OperatorSettings, Submission

CHANGES = 5


class Group:
    """Commits a change only when the next one is waited for, or after ``patience`` seconds."""

    def __init__(self) -> None:
        self.revision = 1
        self.patience = 0.05
        self._read = threading.Event()

    def read(self, _: object) -> DeclaredConfiguration:
        held = DeclaredConfiguration(self.revision, {POLICY: Policy()})
        self._read.set()
        return held

    def submit(self, _: object, change_id: str, expected: int, __: object) -> ChangeResult:
        self._read.clear()
        self._read.wait(self.patience)
        if expected != self.revision:
            return Conflict(self.revision, change_id, "other")
        self.revision += 1
        return Accepted(self.revision)


def settings_of(folder: pathlib.Path, *submissions: Submission) -> OperatorSettings:
    return OperatorSettings(
        name="dana",
        token="token",
        rpc_addresses=("127.0.0.1:1",),
        record_path=str(folder / "dana.jsonl"),
        changes=0,
        submissions=submissions,
    )


def outcomes(folder: pathlib.Path, series: str) -> list[ChangeOutcome]:
    many = (
        Submission(at=0.0, change_id=f"many.{number}", series=series) for number in range(CHANGES)
    )
    assert run_operator(settings_of(folder, *many)) == 0
    records = read_records(folder / "dana.jsonl", OperatorRecord)
    return [item.outcome for item in records if item.outcome is not ChangeOutcome.SUBMITTED]


@pytest.fixture
def group(monkeypatch: pytest.MonkeyPatch) -> Group:
    held = Group()
    monkeypatch.setattr(operator, "read_in_force", held.read)
    monkeypatch.setattr(operator, "submit", held.submit)
    return held


def test_changes_of_a_series_follow_each_other(tmp_path: pathlib.Path, group: Group) -> None:
    assert outcomes(tmp_path, "many") == [ChangeOutcome.ACCEPTED] * CHANGES
    assert group.revision == 1 + CHANGES


def test_changes_without_a_series_race(tmp_path: pathlib.Path, group: Group) -> None:
    group.patience = 1.0
    assert ChangeOutcome.CONFLICT in outcomes(tmp_path, "")
    assert group.revision < 1 + CHANGES


@pytest.mark.parametrize(("begun_ago", "waits"), [(100.0, False), (-1000.0, True)])
def test_times_count_from_the_begin_given(
    tmp_path: pathlib.Path,
    group: Group,
    monkeypatch: pytest.MonkeyPatch,
    begun_ago: float,
    waits: bool,
) -> None:
    assert group.revision == 1
    slept: list[float] = []
    monkeypatch.setattr("time.sleep", slept.append)
    settings = settings_of(tmp_path, Submission(at=50.0, change_id="late"))
    assert run_operator(settings, monotonic() - begun_ago) == 0
    assert (max(slept) > 0.0) == waits
