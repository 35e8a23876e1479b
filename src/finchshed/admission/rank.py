"""Admission rank of a request: one integer that orders requests by how late they are shed.

The rank holds, from its highest bits down, the importance class, whether the request belongs to a
running session, and a position that is the same on every hop of one root request. The position
follows DAGOR (Zhou et al., *Overload Control for Scaling WeChat Microservices*, SoCC 2018), where
a hash keeps the hops of one request from deciding differently.
"""

import xxhash

from finchshed.common.context import CallContext
from finchshed.common.importance import Importance

POSITION_BITS = 16
"""Bits of the position within a class."""

POSITIONS = 1 << POSITION_BITS
"""Number of positions within a class."""

RANKS = len(Importance) * 2 * POSITIONS
"""Number of ranks; a threshold of ``RANKS`` would admit nothing."""

_SESSION_BIT = 1 << POSITION_BITS
_IMPORTANCE_SHIFT = POSITION_BITS + 1


def position_of(root: str) -> int:
    """Return the position of a root request among ``POSITIONS``, from its identity."""
    return xxhash.xxh32_intdigest(root.encode()) & (POSITIONS - 1)


def rank_of(context: CallContext) -> int:
    """Return the rank of a request, 0 to ``RANKS - 1``; lower ranks are shed first."""
    position = context.position
    if position < 0:
        position = position_of(context.root)
    rank = (context.importance << _IMPORTANCE_SHIFT) | position
    return rank | _SESSION_BIT if context.is_admitted else rank


def is_in_session(rank: int) -> bool:
    """Return whether the request belongs to a running session."""
    return bool(rank & _SESSION_BIT)


def class_floor(importance: Importance) -> int:
    """Return the lowest rank of an importance class."""
    return int(importance) << _IMPORTANCE_SHIFT


def importance_of(rank: int) -> Importance:
    """Return the importance class a rank belongs to."""
    return Importance(min(rank >> _IMPORTANCE_SHIFT, max(Importance)))


def cut_of(rank: float) -> float:
    """Return where a threshold cuts the classes: its class, and the share of that below it."""
    importance = min(int(rank) >> _IMPORTANCE_SHIFT, max(Importance))
    position = rank - (importance << _IMPORTANCE_SHIFT)
    return importance + min(1.0, position / POSITIONS)


def rank_of_cut(cut: float) -> int:
    """Return the threshold for a cut between 0 and the number of classes."""
    importance = min(int(cut), max(Importance))
    position = min(POSITIONS - 1, int((cut - importance) * POSITIONS))
    return (importance << _IMPORTANCE_SHIFT) | position


def admitted_share(importance: Importance, threshold: float) -> float:
    """Return the share of a class whose ranks are not below ``threshold``."""
    return min(1.0, max(0.0, importance + 1.0 - cut_of(threshold)))
