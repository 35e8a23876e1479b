from finchshed.fleet.final_configuration import FinalConfiguration, find_configuration_problems
from finchshed.standins.operator import OperatorRecord, StandinChangeOutcome


def record(
    change: str, value: float, outcome: StandinChangeOutcome, revision: int = 0
) -> OperatorRecord:
    return OperatorRecord(
        at=0.0,
        operator="one",
        change_id=change,
        expected_revision=1,
        value=value,
        outcome=outcome,
        revision=revision,
    )


ACCEPTED = [
    record("a", 601.0, StandinChangeOutcome.ACCEPTED, 2),
    record("b", 602.0, StandinChangeOutcome.CONFLICT),
    record("c", 603.0, StandinChangeOutcome.ACCEPTED, 3),
]


def test_last_accepted_change_in_force_is_no_problem() -> None:
    assert find_configuration_problems(FinalConfiguration(3, 603.0), ACCEPTED, 1) == []
    assert find_configuration_problems(FinalConfiguration(1, 600.0), [], 1) == []


def test_reverted_revision_is_reported() -> None:
    assert (
        "3 was accepted"
        in find_configuration_problems(FinalConfiguration(2, 601.0), ACCEPTED, 1)[0]
    )
    assert find_configuration_problems(FinalConfiguration(1, 600.0), [], 2)


def test_wrong_value_at_the_accepted_revision_is_reported() -> None:
    assert "value 602" in find_configuration_problems(FinalConfiguration(3, 602.0), ACCEPTED, 1)[0]


def test_change_with_unknown_outcome_may_be_in_force() -> None:
    records = [*ACCEPTED, record("d", 604.0, StandinChangeOutcome.UNKNOWN)]
    assert find_configuration_problems(FinalConfiguration(4, 604.0), records, 1) == []
    assert find_configuration_problems(FinalConfiguration(4, 602.0), records, 1)


def test_revision_of_two_changes_is_reported() -> None:
    records = [*ACCEPTED, record("e", 605.0, StandinChangeOutcome.ACCEPTED, 3)]
    assert (
        "told to both" in find_configuration_problems(FinalConfiguration(3, 603.0), records, 1)[0]
    )


def test_unreachable_control_group_is_reported() -> None:
    assert find_configuration_problems(None, ACCEPTED, 1) == [
        "no control node says what is in force"
    ]
