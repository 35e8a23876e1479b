"""Admission threshold from the demand of each importance class, however late it is felt.

A request may call on a back end long after it was admitted at the edge, so a threshold that follows
the queue alone is always late: it rises when too much has been admitted, and falls when too little
has. This one estimates what each class *would* ask for if all of it were admitted: each arrival
counts by the inverse of the share of its class that was admitted together with it, which its
context carries (inverse probability weighting; Horvitz, Thompson, *A Generalization of Sampling
Without Replacement*, 1952). The estimate depends neither on the threshold in force nor on the
delay, so the threshold can be set where the classes, from the most important down, fill the slots.
Below it requests are refused at the edge, before anything ran.

The idea of admitting by classes and, within one, by a position that all hops share is DAGOR's (Zhou
et al., *Overload Control for Scaling WeChat Microservices*, SoCC 2018).
"""

import math

from finchshed.admission.rank import importance_of, rank_of_cut
from finchshed.common.importance import Importance

TARGET_USE = 1.03
"""Share of the slots that the admitted demand fills.

What it is above 1 stands in the queue for :data:`BACKLOG_SECONDS` times that part: a queue of some
30 ms keeps the slots full while arrivals vary, and is short against the time that calls have.
"""

MEMORY_SECONDS = 0.5
"""Time constant of the estimates."""

RAISE_SECONDS = 0.1
LOWER_SECONDS = 0.2
"""Time constants with which the threshold moves up and down."""

BACKLOG_SECONDS = 1.0
"""A queue is worked off in about this time, but for what :data:`TARGET_USE` allows."""

PRESSURE_SECONDS = 0.2
PRESSURE_LEAST = 0.8
"""The threshold rises only if the slots were used by this much lately: estimates are noisy."""

SHARE_LEAST = 0.04
"""Arrivals of a class that was admitted less than this count as if it were admitted this much."""

SERVICE_WEIGHT = 0.02
"""Weight of one finished request in the mean time of its class."""

WINDOW_SECONDS = 0.02
"""Least time between two steps."""

CLASSES = tuple(Importance)


class _Class:
    """Estimates of one importance class."""

    __slots__ = ("arrivals", "demand", "seconds")

    def __init__(self) -> None:
        self.arrivals = 0.0
        self.seconds = 0.0
        self.demand = 0.0


class DemandThreshold:
    """Computes the threshold step by step. Times are in seconds.

    Parameters
    ----------
    now
        Time of creation.
    """

    def __init__(self, now: float) -> None:
        self._created_at = now
        self._stepped_at = now
        self._classes = tuple(_Class() for _ in CLASSES)
        self._cut = 0.0
        self._pressure = 0.0

    @property
    def value(self) -> int:
        """Ranks below this one are refused at present."""
        return rank_of_cut(self._cut)

    def demand_of(self, importance: Importance) -> float:
        """Return the slots that a class would use if all of it were admitted."""
        return self._classes[importance].demand

    def on_arrival(self, rank: int, admitted_share: float, calls: float = 1.0) -> None:
        """Count a request that reached the gate.

        Parameters
        ----------
        admitted_share
            Share of its class that was admitted when its root request was.
        calls
            Calls that it stands for: a request announces with its first call all that it will make,
            as those that are lost on the way must count too.
        """
        weight = calls / max(admitted_share, SHARE_LEAST)
        self._classes[importance_of(rank)].arrivals += weight

    def on_finish(self, rank: int, seconds: float) -> None:
        """Take the time that one request took at the back end."""
        held = self._classes[importance_of(rank)]
        if held.seconds == 0.0:
            held.seconds = seconds
        held.seconds += SERVICE_WEIGHT * (seconds - held.seconds)

    def on_queue(self, queued: int) -> None:
        """Take no notice: the queue is told with each step."""

    def step(
        self, now: float, *, running: int, queued: int, limit: int, mean_seconds: float
    ) -> None:
        """Estimate anew and move the threshold, if a step is due.

        Parameters
        ----------
        limit
            Requests that the back end runs at a time.
        mean_seconds
            Mean time of a request at the back end.
        """
        elapsed = now - self._stepped_at
        if elapsed < WINDOW_SECONDS:
            return
        self._stepped_at = now
        self._estimate(elapsed, now)
        use = (running + queued) / limit
        self._pressure += _part(elapsed, PRESSURE_SECONDS) * (use - self._pressure)
        wanted = self._wanted(limit, queued * mean_seconds)
        if wanted > self._cut:
            if self._pressure >= PRESSURE_LEAST:
                # Below the least important class that asks for anything there is nothing to refuse.
                begin = max(self._cut, min(wanted, self._lowest_class()))
                self._cut = begin + _part(elapsed, RAISE_SECONDS) * (wanted - begin)
        else:
            self._cut += _part(elapsed, LOWER_SECONDS) * (wanted - self._cut)

    def _estimate(self, elapsed: float, now: float) -> None:
        kept = 1.0 - _part(elapsed, MEMORY_SECONDS)
        # The memory of a new gate is not full yet.
        filled = _part(now - self._created_at, MEMORY_SECONDS)
        for held in self._classes:
            held.demand = held.arrivals * held.seconds / (MEMORY_SECONDS * filled)
            held.arrivals *= kept

    def _lowest_class(self) -> float:
        asking = (float(item) for item in CLASSES if self._classes[item].demand > 0.0)
        return min(asking, default=0.0)

    def _wanted(self, limit: int, waiting: float) -> float:
        """Return the cut at which the demand fits; ``waiting`` is what queues, in seconds."""
        room = max(0.0, TARGET_USE * limit - waiting / BACKLOG_SECONDS)
        for importance in reversed(CLASSES):
            demand = self._classes[importance].demand
            if demand > room:
                return importance + 1.0 - room / demand
            room -= demand
        return 0.0


def _part(elapsed: float, time_constant: float) -> float:
    """Return how far a value follows its target in ``elapsed`` seconds."""
    return 1.0 - math.exp(-elapsed / time_constant)
