import pytest

from finchshed.fleet.expectations import unmet
from finchshed.fleet.scenario import Expectation
from finchshed.fleet.summary import Row

ROWS = [
    Row(phase="calm", load="check", sent=10, answered=10, attempts=10),
    Row(phase="surge", load="check", sent=10, answered=7, refused=2, failed=1, attempts=20),
    Row(phase="surge", load="booklet", sent=100, answered=10, refused=90, attempts=100),
]


@pytest.mark.parametrize(
    ("expectation", "said"),
    [
        (Expectation(load="check", phase="surge", answered_at_least=0.71), "answered 0.7000"),
        (Expectation(load="check", failed_at_most=0), "failed 1"),
        (Expectation(load="*", refused_at_most=91), "refused 92"),
        (Expectation(load="check", attempts_mean_at_most=1.4), "attempts per request 1.50"),
        (Expectation(load="purchase"), "nothing was sent"),
    ],
)
def test_bound_that_is_not_kept_is_named(expectation: Expectation, said: str) -> None:
    lines = unmet([expectation], ROWS)
    assert len(lines) == 1
    assert said in lines[0]


def test_bounds_that_are_kept_say_nothing() -> None:
    kept = [
        Expectation(load="check", phase="calm", answered_at_least=1.0, failed_at_most=0),
        Expectation(load="check", answered_at_least=0.85, attempts_mean_at_most=1.5),
        Expectation(load="*", refused_at_most=92, failed_at_most=1),
    ]
    assert unmet(kept, ROWS) == []
