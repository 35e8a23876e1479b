"""Disk incarnation: a random identifier stored on the disk.

A member of the control group is identified by its node name and disk incarnation. An empty or
damaged disk gets a new incarnation, and so becomes a new member without votes or acknowledgements.
"""

import random

import msgspec

from finchshed.storage.disk import Disk, replace_file
from finchshed.storage.framing import frame, read_complete

INCARNATION_NAME = "incarnation.json"

_INCARNATION_BITS = 64


class DiskIncarnation(msgspec.Struct, frozen=True):
    """Content of the incarnation file."""

    incarnation: str


def new_incarnation(rng: random.Random) -> str:
    """Return a new random incarnation."""
    return f"{rng.getrandbits(_INCARNATION_BITS):016x}"


def read_incarnation(disk: Disk) -> str | None:
    """Return the stored incarnation, or None if the file is missing.

    Raises
    ------
    CorruptRecordError
        The file is damaged.
    """
    if INCARNATION_NAME not in disk.names():
        return None
    record = read_complete(disk.read(INCARNATION_NAME), INCARNATION_NAME)[0]
    return msgspec.json.decode(record, type=DiskIncarnation).incarnation


def write_incarnation(disk: Disk, incarnation: str) -> None:
    """Make ``incarnation`` durable."""
    record = msgspec.json.encode(DiskIncarnation(incarnation))
    replace_file(disk, INCARNATION_NAME, [frame(record)])
