"""Tunes garbage collection for long-running processes.

A full collection visits every container and pauses all calls meanwhile. Most containers belong to
imported modules and are never garbage, so they are frozen before the process starts serving.
"""

import gc
from collections.abc import Iterator
from contextlib import contextmanager

YOUNG_THRESHOLD = 5_000
"""Net container allocations that trigger a collection of the youngest generation."""

MIDDLE_THRESHOLD = 20
OLD_THRESHOLD = 20


@contextmanager
def paused() -> Iterator[None]:
    """Disable collection in the context, then freeze all objects.

    Wrap a program's imports in it: they create many permanent objects and almost no garbage.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


def freeze_existing_objects() -> None:
    """Exclude all existing objects from collection; call it when the process starts serving."""
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
