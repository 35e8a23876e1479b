"""The table of losses by cause adds up to the missing worth."""

import pytest

from tests.platform.worth_by_cause import format_entry, losses_of

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


def test_losses_and_prices_sum_to_the_missing_worth() -> None:
    losses = losses_of(DAY)
    assert list(losses) == ["price: machine-seconds", "part: whole day", "rest"]
    assert sum(losses.values()) == pytest.approx(0.24 + 0.56 * 0.1 + 0.001)


def test_broken_rules_are_listed() -> None:
    entry = {"site": "s", "head": "0123456789", "why": "w", "days": [{**DAY, "rules": {"LOST": 1}}]}
    assert "rules broken: LOST" in format_entry(entry)[1]
