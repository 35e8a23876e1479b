"""The campaign catches each rule left out; which seed shows it first is written in the table."""

import pytest

from tests.consensus.broken_variants import VARIANTS, caught_by

MOST_SEEDS = 300


@pytest.mark.parametrize("name", VARIANTS)
def test_is_caught(name: str) -> None:
    summary = caught_by(name, VARIANTS[name].first_seed, MOST_SEEDS)
    assert summary.failures
