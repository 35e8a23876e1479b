"""How many seeds the campaign takes to find each broken variant.

Run as ``python -m tests.proof.seeds_taken``.
"""

from collections.abc import Iterable

import pytest

from finchshed.campaign.runner import run_plan
from finchshed.campaign.scenarios import plan_of
from finchshed.emulator.collector import tune_collector
from tests.proof.broken import VARIANTS, Variant

MOST_SEEDS = 100


def first_seed_that_finds(variant: Variant, seeds: Iterable[int]) -> int | None:
    """Return the first of ``seeds`` whose history breaks the variant's property."""
    for seed in seeds:
        result, _ = run_plan(plan_of(variant.scenario, seed))
        if variant.check in result.broken_checks():
            return seed
    return None


def main() -> None:
    """Print a line for each variant."""
    tune_collector()
    for name, variant in VARIANTS.items():
        with pytest.MonkeyPatch.context() as patch:
            variant.apply(patch)
            seed = first_seed_that_finds(variant, range(1, MOST_SEEDS + 1))
        print(f"| {variant.check} | {name} | {variant.scenario} | {seed} |", flush=True)


if __name__ == "__main__":
    main()
