"""Garbage collector settings for runs of the emulator."""

import gc
from typing import Final

COLLECTOR_THRESHOLD: Final = 200_000
"""Allocations that trigger a collection of the youngest generation."""


def tune_collector() -> None:
    """Make garbage collections rare, since most objects of a run live until its end."""
    gc.set_threshold(COLLECTOR_THRESHOLD, 20, 20)
