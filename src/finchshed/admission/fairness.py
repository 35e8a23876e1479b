"""Positions of root requests within their class, so that no caller crowds out the others.

The position is drawn where a root request enters and travels with it, so every hop decides alike.
What a caller sends of a class up to the mean over the callers of the last second falls in the upper
half of the positions; what exceeds it once in the next quarter, and so on; within its part a
request falls by the hash of the root. A caller that sends many times more than the others, or
repeats hard, finds the excess at the bottom, whatever the threshold is. The mean is that of one
edge; a caller that spreads over several edges has it at each.

Inputs: identity of the caller, importance, root and the time in seconds. Owns the counts of the
last two periods. Used where requests name the service (``daemon/ingress/service_handler.py``).
"""

import msgspec

from finchshed.admission.rank import POSITION_BITS, position_of
from finchshed.common.importance import Importance

PERIOD_SECONDS = 1.0
"""Seconds over which a caller's requests are counted. Chosen, not measured."""

MAX_CALLERS = 65_536
"""Callers counted at a time in a class; one not counted is treated as new. Some 84 bytes each
(docs/design/routing.md); the bound is chosen, not measured."""


class _Period(msgspec.Struct):
    """Requests of one period, by caller."""

    counts: dict[str, int] = msgspec.field(default_factory=dict)
    total: int = 0

    def mean(self) -> float:
        """Return the mean over the callers, at least 1."""
        return self.total / len(self.counts) if self.counts else 1.0


class _Class(msgspec.Struct):
    """Requests of one importance class: of this period and the one before."""

    present: _Period = msgspec.field(default_factory=_Period)
    last: _Period = msgspec.field(default_factory=_Period)


class FairPositions:
    """Counts the recent requests of each caller and places its next one.

    A caller's recent requests are those of this period and the part of the last one that a sliding
    period still covers.

    Parameters
    ----------
    now
        Time of creation, seconds.
    """

    def __init__(self, now: float) -> None:
        self._period_start = now
        self._classes = {importance: _Class() for importance in Importance}

    def __len__(self) -> int:
        """Return the number of callers counted in this period, over the classes."""
        return sum(len(held.present.counts) for held in self._classes.values())

    def assign_position(self, caller: str, importance: Importance, root: str, now: float) -> int:
        """Return the position of a root request; one without a caller is placed by its hash."""
        position = position_of(root)
        if not caller:
            return position
        self._turn(now)
        held = self._classes[importance]
        halvings = int(self._count(held, caller, now) / held.last.mean())
        if halvings >= POSITION_BITS:
            return 0
        upper = 1 << (POSITION_BITS - halvings - 1)
        return upper + (position >> (halvings + 1))

    def _turn(self, now: float) -> None:
        elapsed = now - self._period_start
        if elapsed < PERIOD_SECONDS:
            return
        for held in self._classes.values():
            held.last = held.present if elapsed < 2.0 * PERIOD_SECONDS else _Period()
            held.present = _Period()
        self._period_start = now

    def _count(self, held: _Class, caller: str, now: float) -> float:
        """Return the caller's recent requests, and count one more."""
        covered = 1.0 - (now - self._period_start) / PERIOD_SECONDS
        counts = held.present.counts
        present = counts.get(caller, 0)
        if present or len(counts) < MAX_CALLERS:
            counts[caller] = present + 1
            held.present.total += 1
        return present + held.last.counts.get(caller, 0) * covered
