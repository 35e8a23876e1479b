"""The table of a day's worth by cause adds up."""

import pytest

from tests.platform.worth_by_cause import lines_of, losses_of

DAY = {
    "name": "trouble-1",
    "G": 0.7,
    "served": 0.9,
    "rules": {},
    "short": [],
    "wall_s": 80.2,
    "parts": [["whole day", 0.56, 0.9], ["served at all", 0.44, 1.0]],
    "prices": [["machine-seconds", 900.0, 0.24], ["probes", 3.0, 0.001], ["cloud calls", 0.0, 0.0]],
}


def test_losses_and_prices_add_up_to_what_the_worth_lacks() -> None:
    losses = losses_of(DAY)
    assert list(losses) == ["price: machine-seconds", "part: whole day", "rest"]
    assert sum(losses.values()) == pytest.approx(0.24 + 0.56 * 0.1 + 0.001)


def test_a_day_that_broke_a_rule_says_so() -> None:
    entry = {"site": "s", "head": "0123456789", "why": "w", "days": [{**DAY, "rules": {"LOST": 1}}]}
    assert "rules broken: LOST" in lines_of(entry)[1]
