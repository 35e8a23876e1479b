"""The simulated operator submits changes in sequence and retries after conflicts."""

import pathlib

import pytest

from finchshed.configuration.changes import Accepted, ChangeResult, Conflict
from finchshed.configuration.resources import Policy
from finchshed.ctl.changes import DeclaredConfiguration
from finchshed.standins import operator
from finchshed.standins.operator import (
    BASE_VALUE_SECONDS,
    POLICY_KEY,
    OperatorRecord,
    StandinChangeOutcome,
    run_operator,
)
from finchshed.standins.records import read_records
from finchshed.standins.settings import OperatorSettings

CHANGES = 5
FIRST_NUMBER = 1000


class FakeControlGroup:
    """Control group in which another operator wins the next ``conflicts`` submissions."""

    def __init__(self) -> None:
        self.revision = 1
        self.conflicts = 0

    def read(self, _: object) -> DeclaredConfiguration:
        return DeclaredConfiguration(self.revision, {POLICY_KEY: Policy()})

    def submit(self, _: object, change_id: str, expected: int, __: object) -> ChangeResult:
        if self.conflicts:
            self.conflicts -= 1
            self.revision += 1
        if expected != self.revision:
            return Conflict(self.revision, change_id, "other")
        self.revision += 1
        return Accepted(self.revision)


@pytest.fixture
def group(monkeypatch: pytest.MonkeyPatch) -> FakeControlGroup:
    fake = FakeControlGroup()
    monkeypatch.setattr(operator, "read_configuration", fake.read)
    monkeypatch.setattr(operator, "submit_change", fake.submit)
    return fake


def run_and_read_results(folder: pathlib.Path) -> list[OperatorRecord]:
    settings = OperatorSettings(
        name="dana",
        token="token",
        rpc_addresses=("127.0.0.1:1",),
        record_path=str(folder / "dana.jsonl"),
        changes=CHANGES,
        first_number=FIRST_NUMBER,
    )
    assert run_operator(settings) == 0
    records = read_records(folder / "dana.jsonl", OperatorRecord)
    return [item for item in records if item.outcome is not StandinChangeOutcome.SUBMITTED]


def test_changes_build_on_each_other(tmp_path: pathlib.Path, group: FakeControlGroup) -> None:
    records = run_and_read_results(tmp_path)
    assert [item.outcome for item in records] == [StandinChangeOutcome.ACCEPTED] * CHANGES
    assert [item.expected_revision for item in records] == list(range(1, 1 + CHANGES))
    first = BASE_VALUE_SECONDS + FIRST_NUMBER
    assert [item.value for item in records] == [first + number for number in range(CHANGES)]
    assert group.revision == 1 + CHANGES


def test_conflicting_change_is_retried_with_a_new_change_id(
    tmp_path: pathlib.Path, group: FakeControlGroup
) -> None:
    group.conflicts = 2
    records = run_and_read_results(tmp_path)
    assert [item.outcome for item in records[:3]] == [
        StandinChangeOutcome.CONFLICT,
        StandinChangeOutcome.CONFLICT,
        StandinChangeOutcome.ACCEPTED,
    ]
    assert len({item.value for item in records[:3]}) == 1
    assert len({item.change_id for item in records}) == len(records) == CHANGES + 2
    assert [item.revision for item in records[2:]] == list(range(4, 4 + CHANGES))
