"""Assigns root requests positions within their class so that no caller starves the others.

The position is assigned at the edge and travels with the request, so every hop makes the same
decision. Requests up to the mean rate per caller get positions in the upper half, the next as many
in the quarter below it, and so on; within such a range the position is the hash of the root. A
caller that sends many times more than the others has its excess shed first, whatever the threshold.
Rates are counted per edge, so a caller that uses several edges gets a share at each.
"""

import msgspec

from finchshed.admission.rank import POSITION_BITS, position_of
from finchshed.common.importance import Importance

PERIOD_SECONDS = 1.0
"""Length of a counting period."""

MAX_CALLERS = 65_536
"""Maximum number of callers counted per class; callers beyond it are treated as new.

Each takes some 84 bytes (docs/design/routing.md)."""


class _PeriodCounts(msgspec.Struct):
    """Number of requests in one period, by caller."""

    counts: dict[str, int] = msgspec.field(default_factory=dict)
    total: int = 0

    def mean(self) -> float:
        """Return the mean number of requests per caller, at least 1."""
        return self.total / len(self.counts) if self.counts else 1.0


class _ClassCounts(msgspec.Struct):
    """Request counts of one importance class, for the current and the previous period."""

    current: _PeriodCounts = msgspec.field(default_factory=_PeriodCounts)
    previous: _PeriodCounts = msgspec.field(default_factory=_PeriodCounts)


class FairPositions:
    """Counts the recent requests of each caller and assigns positions to new ones.

    Counts use a sliding window: the current period plus the part of the previous one that the
    window still covers.

    Parameters
    ----------
    now
        Time of creation, seconds.
    """

    def __init__(self, now: float) -> None:
        self._period_start = now
        self._classes = {importance: _ClassCounts() for importance in Importance}

    def __len__(self) -> int:
        """Return the number of callers counted in the current period, summed over the classes."""
        return sum(len(class_counts.current.counts) for class_counts in self._classes.values())

    def assign_position(self, caller: str, importance: Importance, root: str, now: float) -> int:
        """Return the position of a root request; without a caller it is the hash of the root."""
        position = position_of(root)
        if not caller:
            return position
        self._rotate(now)
        class_counts = self._classes[importance]
        halvings = int(
            self._count_request(class_counts, caller, now) / class_counts.previous.mean()
        )
        if halvings >= POSITION_BITS:
            return 0
        upper = 1 << (POSITION_BITS - halvings - 1)
        return upper + (position >> (halvings + 1))

    def _rotate(self, now: float) -> None:
        elapsed = now - self._period_start
        if elapsed < PERIOD_SECONDS:
            return
        for class_counts in self._classes.values():
            class_counts.previous = (
                class_counts.current if elapsed < 2.0 * PERIOD_SECONDS else _PeriodCounts()
            )
            class_counts.current = _PeriodCounts()
        self._period_start = now

    def _count_request(self, class_counts: _ClassCounts, caller: str, now: float) -> float:
        """Return the number of the caller's recent requests, and count one more."""
        covered = 1.0 - (now - self._period_start) / PERIOD_SECONDS
        counts = class_counts.current.counts
        current = counts.get(caller, 0)
        if current or len(counts) < MAX_CALLERS:
            counts[caller] = current + 1
            class_counts.current.total += 1
        return current + class_counts.previous.counts.get(caller, 0) * covered
