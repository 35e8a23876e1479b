import pytest

from finchshed.fleet.expectations import find_unmet_expectations
from finchshed.fleet.scenario import Expectation
from finchshed.fleet.summary import Row

ROWS = [
    Row(phase="calm", load="check", sent=10, answered=10, attempts=10),
    Row(phase="surge", load="check", sent=10, answered=7, refused=2, failed=1, attempts=20),
    Row(phase="surge", load="booklet", sent=100, answered=10, refused=90, attempts=100),
]


@pytest.mark.parametrize(
    ("expectation", "expected"),
    [
        (Expectation(load="check", phase="surge", answered_at_least=0.71), "answered 0.7000"),
        (Expectation(load="check", failed_at_most=0), "failed 1"),
        (Expectation(load="*", refused_at_most=91), "refused 92"),
        (Expectation(load="check", attempts_mean_at_most=1.4), "attempts per request 1.50"),
        (Expectation(load="purchase"), "nothing was sent"),
    ],
)
def test_violated_bound_is_reported(expectation: Expectation, expected: str) -> None:
    lines = find_unmet_expectations([expectation], ROWS)
    assert len(lines) == 1
    assert expected in lines[0]


def test_satisfied_bounds_are_not_reported() -> None:
    satisfied = [
        Expectation(load="check", phase="calm", answered_at_least=1.0, failed_at_most=0),
        Expectation(load="check", answered_at_least=0.85, attempts_mean_at_most=1.5),
        Expectation(load="*", refused_at_most=92, failed_at_most=1),
    ]
    assert find_unmet_expectations(satisfied, ROWS) == []
