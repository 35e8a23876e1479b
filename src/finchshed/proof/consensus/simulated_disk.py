"""A node's use of its simulated disk: how it is opened, and how long a write takes."""

import random

from finchshed.common.errors import CorruptRecordError
from finchshed.proof.consensus.observer import Observer
from finchshed.storage.log_store import OpenedStore, open_store, set_aside_damaged_files
from finchshed.storage.simulated_disk import SimulatedDisk

_WRITE_SECONDS = (0.0003, 0.004)
"""Shortest and longest ordinary write."""
_SLOW_WRITE_CHANCE = 0.01
"""How often a write is slow."""
_SLOW_WRITE_SECONDS = (0.05, 0.4)
"""Shortest and longest slow write."""
_LONGEST_WRITE_SECONDS = 3.0
"""Bound on a write of a slowed disk."""


def write_seconds(rng: random.Random, slowness: float) -> float:
    """Return the seconds of one write on a disk that takes ``slowness`` times as long as usual."""
    slow = rng.random() < _SLOW_WRITE_CHANCE
    seconds = rng.uniform(*(_SLOW_WRITE_SECONDS if slow else _WRITE_SECONDS))
    return min(slowness * seconds, _LONGEST_WRITE_SECONDS)


def open_with_damage(disk: SimulatedDisk, rng: random.Random, observer: Observer) -> OpenedStore:
    """Open the disk as the production node does: damage is counted, and discarded.

    Raises
    ------
    StorageError
        If the disk is full or fails.
    """
    try:
        return open_store(disk, rng)
    except CorruptRecordError:
        observer.count("damage_found")
        set_aside_damaged_files(disk)
        return open_store(disk, rng)
