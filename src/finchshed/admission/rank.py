"""Admission rank of a request: one integer that orders requests by how late they are shed.

The rank holds, from its highest bits down, the importance class, whether the request belongs to a
running session, and a position that is the same on every hop of one root request. The position
follows DAGOR (Zhou et al., *Overload Control for Scaling WeChat Microservices*, SoCC 2018), where
a hash keeps the hops of one request from deciding differently.

Pure functions of the call's context; thresholds are ranks too. What is refused by a rank is decided
in :mod:`finchshed.admission.gate` and :mod:`finchshed.routing.table`.
"""

import msgspec
import xxhash

from finchshed.common.context import CallContext
from finchshed.common.importance import Importance

POSITION_BITS = 16
"""Bits of the position within a class. Chosen, not measured."""

POSITIONS = 1 << POSITION_BITS
"""Number of positions within a class."""

RANKS = len(Importance) * 2 * POSITIONS
"""Number of ranks; a threshold of ``RANKS`` would admit nothing."""

_CLASSES = tuple(Importance)
_HIGHEST = max(Importance)
_SESSION_BIT = 1 << POSITION_BITS
_IMPORTANCE_SHIFT = POSITION_BITS + 1


def position_of(root: str) -> int:
    """Return the position of a root request among ``POSITIONS``, from its identity."""
    return xxhash.xxh32_intdigest(root.encode()) & (POSITIONS - 1)


def position_within_class(route: Importance, position: int) -> int:
    """Return the position of a request whose class is its caller's and not its route's.

    Within the caller's class requests are shed by the importance of their routes, and of those
    equal in that by their own position.
    """
    return (int(route) * POSITIONS + position) // len(Importance)


def rank_of(context: CallContext) -> int:
    """Return the rank of a request, 0 to ``RANKS - 1``; lower ranks are shed first."""
    position = context.position
    if position < 0:
        position = position_of(context.root)
    rank = (context.importance << _IMPORTANCE_SHIFT) | position
    return rank | _SESSION_BIT if context.is_admitted else rank


def rank_once_admitted(rank: int) -> int:
    """Return the rank among what was admitted as a whole, at the same position."""
    return rank | _SESSION_BIT


def lowest_rank_of(importance: Importance) -> int:
    """Return the lowest rank of an importance class."""
    return int(importance) << _IMPORTANCE_SHIFT


def importance_of(rank: int) -> Importance:
    """Return the importance class a rank belongs to."""
    return _CLASSES[min(rank >> _IMPORTANCE_SHIFT, _HIGHEST)]


def cut_of(rank: float) -> float:
    """Return where a threshold cuts the classes: its class, and the fraction of that below it."""
    importance = min(int(rank) >> _IMPORTANCE_SHIFT, _HIGHEST)
    position = rank - (importance << _IMPORTANCE_SHIFT)
    return importance + min(1.0, position / POSITIONS)


def rank_of_cut(cut: float) -> int:
    """Return the threshold for a cut between 0 and the number of classes."""
    importance = min(int(cut), _HIGHEST)
    position = min(POSITIONS - 1, int((cut - importance) * POSITIONS))
    return (importance << _IMPORTANCE_SHIFT) | position


def faded_threshold(threshold: int, kept_fraction: float) -> float:
    """Return what is left of a threshold of which ``kept_fraction`` still counts; nothing at 0.

    It fades within its class. Faded as a number it would sink below the class at once, and let all
    of the class through while most of the threshold still counts.
    """
    if kept_fraction <= 0.0:
        return 0.0
    lowest = lowest_rank_of(importance_of(threshold))
    return lowest + kept_fraction * (threshold - lowest)


def admitted_fraction(importance: Importance, threshold: float) -> float:
    """Return the fraction of a class whose ranks are not below ``threshold``."""
    return min(1.0, max(0.0, importance + 1.0 - cut_of(threshold)))


def with_admitted_fraction(context: CallContext, threshold: float) -> CallContext:
    """Return the context of a request that was let through at ``threshold``.

    Where several daemons on the way refuse by thresholds of different age, the highest one decided
    which fraction of the class came through: calls further down are weighed by it.
    """
    if context.is_admitted:
        return context
    fraction = admitted_fraction(context.importance, threshold)
    if fraction >= context.admitted_fraction:
        return context
    return msgspec.structs.replace(context, admitted_fraction=fraction)
