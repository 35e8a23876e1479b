"""Seeded random streams, one per purpose.

A stream's seed is a hash of the run's seed and the stream's name, so adding a stream doesn't change
the output of the others.
"""

import random

import numpy as np
import xxhash


class Streams:
    """Factory of named random generators for one run."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def _seed_of(self, name: str) -> int:
        return int(xxhash.xxh3_64_intdigest(name.encode(), seed=self._seed & ((1 << 64) - 1)))

    def python(self, name: str) -> random.Random:
        """Return a generator for scalar draws, which are cheaper than numpy's."""
        return random.Random(self._seed_of(name))

    def numpy(self, name: str) -> np.random.Generator:
        """Return a numpy generator, for arrays."""
        return np.random.default_rng(self._seed_of(name))
