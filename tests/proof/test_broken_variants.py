"""The campaign finds each deliberately broken variant of the logic."""

import pytest

from tests.proof.broken import VARIANTS
from tests.proof.seeds_taken import first_seed_that_finds

MOST_SEEDS = 60


@pytest.mark.parametrize("name", VARIANTS)
def test_the_campaign_finds_a_broken_variant(name: str) -> None:
    variant = VARIANTS[name]
    with pytest.MonkeyPatch.context() as patch:
        variant.apply(patch)
        seeds = (variant.known_seed, *range(1, MOST_SEEDS + 1))
        assert first_seed_that_finds(variant, seeds) is not None
