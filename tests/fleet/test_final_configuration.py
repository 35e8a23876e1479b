from finchshed.fleet.final_configuration import FinalConfiguration, problems_of
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


def test_last_accepted_change_in_force_is_right() -> None:
    assert problems_of(FinalConfiguration(3, 603.0), ACCEPTED, 1) == []
    assert problems_of(FinalConfiguration(1, 600.0), [], 1) == []


def test_reverted_revision_is_found() -> None:
    assert "3 was accepted" in problems_of(FinalConfiguration(2, 601.0), ACCEPTED, 1)[0]
    assert problems_of(FinalConfiguration(1, 600.0), [], 2)


def test_other_value_at_the_accepted_revision_is_found() -> None:
    assert "value 602" in problems_of(FinalConfiguration(3, 602.0), ACCEPTED, 1)[0]


def test_change_of_unknown_result_may_be_in_force() -> None:
    records = [*ACCEPTED, record("d", 604.0, StandinChangeOutcome.UNKNOWN)]
    assert problems_of(FinalConfiguration(4, 604.0), records, 1) == []
    assert problems_of(FinalConfiguration(4, 602.0), records, 1)


def test_revision_told_to_two_operators_is_found() -> None:
    records = [*ACCEPTED, record("e", 605.0, StandinChangeOutcome.ACCEPTED, 3)]
    assert "told to both" in problems_of(FinalConfiguration(3, 603.0), records, 1)[0]


def test_silent_control_group_is_found() -> None:
    assert problems_of(None, ACCEPTED, 1) == ["no control node says what is in force"]
