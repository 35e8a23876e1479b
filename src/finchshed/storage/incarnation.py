"""The identity of a disk.

A member of the control group is a node's name together with the incarnation of its disk. A disk
that is empty, or whose contents were found damaged, gets a new incarnation, and with it a new
member that has promised nothing to anybody.
"""

import random

import msgspec

from finchshed.storage.disk import Disk, replace_file
from finchshed.storage.framing import frame, read_whole

INCARNATION_NAME = "incarnation.json"

_INCARNATION_BITS = 64


class DiskIncarnation(msgspec.Struct, frozen=True):
    """Content of the incarnation file."""

    incarnation: str


def new_incarnation(rng: random.Random) -> str:
    """Return an identity that no other disk has."""
    return f"{rng.getrandbits(_INCARNATION_BITS):016x}"


def read_incarnation(disk: Disk) -> str | None:
    """Return the disk's incarnation, or None on an empty disk.

    Raises
    ------
    CorruptRecordError
        The file is damaged.
    """
    if INCARNATION_NAME not in disk.names():
        return None
    record = read_whole(disk.read(INCARNATION_NAME), INCARNATION_NAME)[0]
    return msgspec.json.decode(record, type=DiskIncarnation).incarnation


def write_incarnation(disk: Disk, incarnation: str) -> None:
    """Make ``incarnation`` durable."""
    record = msgspec.json.encode(DiskIncarnation(incarnation))
    replace_file(disk, INCARNATION_NAME, frame(record))
