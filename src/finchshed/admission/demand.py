"""Admission threshold from the demand of each importance class, however late it is felt.

A request may call on a back end long after it was admitted at the edge, so a threshold that follows
the queue alone is always late: it rises when too much has been admitted, and falls when too little
has. This one estimates what each class *would* ask for if all of it were admitted: each arrival
counts by the inverse of the fraction of its class that was admitted together with it, which its
context carries (inverse probability weighting; Horvitz, Thompson, *A Generalization of Sampling
Without Replacement*, 1952). The estimate depends neither on the threshold in force nor on the
delay, so the threshold can be set where the classes, from the most important down, fill the slots.
Below it requests are refused at the edge, before anything ran.

Inputs: rank, admitted fraction and announced calls of each arrival, seconds of each finished
request, and with each step the requests that run, wait and may run. Owns the estimates and the
threshold; the gate refuses by it. Worth of one day of high load: 0.255 before calls were tied to
their requests, 0.560 with this estimate (docs/design/platform.md, "Admission by demand").

The idea of admitting by classes and, within one, by a position that all hops share is DAGOR's (Zhou
et al., *Overload Control for Scaling WeChat Microservices*, SoCC 2018).
"""

import math

from finchshed.admission.rank import importance_of, rank_of_cut
from finchshed.common.importance import Importance
from finchshed.common.moving_average import moving_average

TARGET_USE = 1.03
"""Multiple of the slots that the admitted demand fills.

What it is above 1 stands in the queue for :data:`BACKLOG_SECONDS` times that part: a queue of some
30 ms keeps the slots full while arrivals vary, and is short against the time that calls have. At
0.97 0.4% of what was admitted failed and 0.93 of the capacity was answered, at 1.03 2 to 2.6% and
0.96 (docs/design/platform.md).
"""

MEMORY_SECONDS = 0.5
"""Time constant of the estimates. Chosen, not measured."""

RAISE_SECONDS = 0.1
"""Time constant with which the threshold moves up. Chosen, not measured."""

LOWER_SECONDS = 0.2
"""Time constant with which it moves down. Chosen, not measured."""

BACKLOG_SECONDS = 1.0
"""A queue is worked off in about this time, but for what :data:`TARGET_USE` allows.

At 0.3 s, tried with thresholds that hold longer, fewer failed and fewer were served: worth of a day
0.324 to 0.295 (docs/design/compared-policies.md)."""

PRESSURE_SECONDS = 0.2
"""Time constant of the use of the slots. Chosen, not measured."""

PRESSURE_LEAST = 0.8
"""The threshold rises only if this fraction of the slots was in use lately: estimates are noisy.
Chosen, not measured."""

ADMITTED_FRACTION_LEAST = 0.04
"""Arrivals of a class of which a smaller fraction was admitted count as if it were this much, so
that one arrival stands for 25 at most. Chosen, not measured."""

SERVICE_WEIGHT = 0.02
"""Weight of one finished request in the mean time of its class: about the last 50 of them.
Chosen, not measured."""

WINDOW_SECONDS = 0.02
"""Least seconds between two steps. Chosen, not measured; the daemon ticks as often."""

CLASSES = tuple(Importance)


class _ClassEstimate:
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
        self._classes = tuple(_ClassEstimate() for _ in CLASSES)
        self._cut = 0.0
        self._pressure = 0.0

    @property
    def value(self) -> int:
        """Ranks below this one are refused at present."""
        return rank_of_cut(self._cut)

    def demand_of(self, importance: Importance) -> float:
        """Return the slots that a class would use if all of it were admitted (for tests)."""
        return self._classes[importance].demand

    def on_arrival(self, rank: int, admitted_fraction: float, calls: float = 1.0) -> None:
        """Count a request that reached the gate.

        Parameters
        ----------
        admitted_fraction
            Fraction of its class that was admitted when its root request was.
        calls
            Calls that it stands for: a request announces with its first call all that it will make,
            as those that are lost on the way must count too.
        """
        weight = calls / max(admitted_fraction, ADMITTED_FRACTION_LEAST)
        self._classes[importance_of(rank)].arrivals += weight

    def on_finish(self, rank: int, seconds: float) -> None:
        """Count the time that one request took at the back end."""
        held = self._classes[importance_of(rank)]
        if held.seconds == 0.0:
            held.seconds = seconds
        held.seconds = moving_average(held.seconds, seconds, SERVICE_WEIGHT)

    def on_queue(self, queued: int) -> None:
        """Do nothing: each step is given the queue."""

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
        followed = _fraction_followed(elapsed, PRESSURE_SECONDS)
        self._pressure = moving_average(self._pressure, use, followed)
        wanted = self._wanted_cut(limit, queued * mean_seconds)
        if wanted > self._cut:
            if self._pressure >= PRESSURE_LEAST:
                # Below the least important class that asks for anything there is nothing to refuse.
                begin = max(self._cut, min(wanted, self._lowest_class()))
                self._cut = begin + _fraction_followed(elapsed, RAISE_SECONDS) * (wanted - begin)
        else:
            self._cut += _fraction_followed(elapsed, LOWER_SECONDS) * (wanted - self._cut)

    def _estimate(self, elapsed: float, now: float) -> None:
        kept = 1.0 - _fraction_followed(elapsed, MEMORY_SECONDS)
        # The memory of a new gate is not full yet.
        filled = _fraction_followed(now - self._created_at, MEMORY_SECONDS)
        for held in self._classes:
            held.demand = held.arrivals * held.seconds / (MEMORY_SECONDS * filled)
            held.arrivals *= kept

    def _lowest_class(self) -> float:
        asking = (float(item) for item in CLASSES if self._classes[item].demand > 0.0)
        return min(asking, default=0.0)

    def _wanted_cut(self, limit: int, waiting: float) -> float:
        """Return the cut at which the demand fits; ``waiting`` is what queues, in seconds."""
        room = max(0.0, TARGET_USE * limit - waiting / BACKLOG_SECONDS)
        for importance in reversed(CLASSES):
            demand = self._classes[importance].demand
            if demand > room:
                return importance + 1.0 - room / demand
            room -= demand
        return 0.0


def _fraction_followed(elapsed: float, time_constant: float) -> float:
    """Return the part of its way to a target that a value goes in ``elapsed`` seconds."""
    return 1.0 - math.exp(-elapsed / time_constant)
