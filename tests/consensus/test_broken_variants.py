"""The simulation campaign detects every broken variant."""

import pytest

from tests.consensus.broken_variants import VARIANTS, run_until_caught

MAX_SEEDS = 300


@pytest.mark.parametrize("name", VARIANTS)
def test_variant_is_caught(name: str) -> None:
    summary = run_until_caught(name, VARIANTS[name].first_seed, MAX_SEEDS)
    assert summary.failures
