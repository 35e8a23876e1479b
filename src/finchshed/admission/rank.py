"""Admission rank of a request: an integer; requests of a lower rank are shed first.

The rank holds, from its highest bits down, the importance class, whether the request belongs to an
admitted session or call tree, and a position that is the same on every hop of one root request. A
request that returns with a reservation has the highest rank of its class. As
in DAGOR (Zhou et al., *Overload Control for Scaling WeChat Microservices*, SoCC 2018), the position
is a hash, so that all hops of a request make the same decision.

Thresholds are ranks too. They are applied in :mod:`finchshed.admission.gate` and
:mod:`finchshed.routing.table`.
"""

import msgspec
import xxhash

from finchshed.common.context import CallContext
from finchshed.common.importance import Importance

POSITION_BITS = 16
"""Bits of the position within a class."""

POSITIONS = 1 << POSITION_BITS
"""Number of positions within a class."""

RANKS = len(Importance) * 2 * POSITIONS
"""Number of ranks; a threshold of this value would admit nothing."""

_CLASSES = tuple(Importance)
_HIGHEST = max(Importance)
_SESSION_BIT = 1 << POSITION_BITS
_IMPORTANCE_SHIFT = POSITION_BITS + 1


def position_of(root: str) -> int:
    """Return the position of a root request, 0 to ``POSITIONS - 1``, by hashing its identity."""
    return xxhash.xxh32_intdigest(root.encode()) & (POSITIONS - 1)


def position_within_class(route: Importance, position: int) -> int:
    """Return the position of a request that takes its class from its caller.

    Within that class, requests are shed by the importance of their routes first and by their own
    position second.
    """
    return (int(route) * POSITIONS + position) // len(Importance)


def rank_of(context: CallContext) -> int:
    """Return the rank of a request, 0 to ``RANKS - 1``; lower ranks are shed first."""
    if context.returning:
        return highest_rank_of(context.importance)
    position = context.position
    if position < 0:
        position = position_of(context.root)
    rank = (context.importance << _IMPORTANCE_SHIFT) | position
    return rank | _SESSION_BIT if context.is_admitted else rank


def admitted_rank(rank: int) -> int:
    """Return the rank of an already admitted request at the same position."""
    return rank | _SESSION_BIT


def lowest_rank_of(importance: Importance) -> int:
    """Return the lowest rank of an importance class."""
    return int(importance) << _IMPORTANCE_SHIFT


def highest_rank_of(importance: Importance) -> int:
    """Return the highest rank of an importance class, above all of its positions."""
    return lowest_rank_of(importance) | _SESSION_BIT | (POSITIONS - 1)


def importance_of(rank: int) -> Importance:
    """Return the importance class a rank belongs to."""
    return _CLASSES[min(rank >> _IMPORTANCE_SHIFT, _HIGHEST)]


def cutoff_of(rank: float) -> float:
    """Return a threshold as a class number plus the fraction of that class below it."""
    importance = min(int(rank) >> _IMPORTANCE_SHIFT, _HIGHEST)
    position = rank - (importance << _IMPORTANCE_SHIFT)
    return importance + min(1.0, position / POSITIONS)


def rank_of_cutoff(cutoff: float) -> int:
    """Return the threshold for a cutoff, 0 to the number of classes; see :func:`cutoff_of`."""
    importance = min(int(cutoff), _HIGHEST)
    position = min(POSITIONS - 1, int((cutoff - importance) * POSITIONS))
    return (importance << _IMPORTANCE_SHIFT) | position


def decayed_threshold(threshold: int, kept_fraction: float) -> float:
    """Return a threshold scaled down to ``kept_fraction`` within its class, or 0 at fraction 0.

    Scaling the plain number would move the threshold below its class immediately and admit the
    whole class while most of the threshold still applies.
    """
    if kept_fraction <= 0.0:
        return 0.0
    lowest = lowest_rank_of(importance_of(threshold))
    return lowest + kept_fraction * (threshold - lowest)


def admitted_fraction(importance: Importance, threshold: float) -> float:
    """Return the fraction of a class that ``threshold`` admits."""
    return min(1.0, max(0.0, importance + 1.0 - cutoff_of(threshold)))


def with_admitted_fraction(context: CallContext, threshold: float) -> CallContext:
    """Return the context of a request that was admitted at ``threshold``.

    If several daemons on the path refuse by thresholds of different age, the highest one determines
    the admitted fraction, by which downstream calls are weighted. A request that returns with a
    reservation isn't shed within its class, so it stands for itself only.
    """
    if context.is_admitted or context.returning:
        return context
    fraction = admitted_fraction(context.importance, threshold)
    if fraction >= context.admitted_fraction:
        return context
    return msgspec.structs.replace(context, admitted_fraction=fraction)
