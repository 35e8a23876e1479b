"""Admission threshold derived from the estimated demand of each importance class.

A request may call a back end long after it was admitted at the edge, so a threshold that follows
the queue reacts too late. This one estimates what each class *would* ask for if all of it were
admitted: each arrival is weighted by the inverse of the fraction of its class that was admitted
with it, which its context carries (inverse probability weighting; Horvitz, Thompson, *A
Generalization of Sampling Without Replacement*, 1952). The estimate depends neither on the current
threshold nor on the delay. The threshold is set where the classes, from the most important down,
fill the slots, and requests below it are refused at the edge.

Admitting by class, and within a class by a position that all hops share, follows DAGOR (Zhou et
al., *Overload Control for Scaling WeChat Microservices*, SoCC 2018).
"""

import math

import msgspec

from finchshed.admission.rank import POSITIONS, importance_of, rank_of_cutoff
from finchshed.common.importance import Importance
from finchshed.common.moving_average import moving_average

TARGET_UTILIZATION = 1.03
"""Admitted demand as a multiple of the slots.

Above 1, so that a short queue keeps the slots busy while arrivals vary. Its length is the excess
times :data:`BACKLOG_SECONDS`, about 30 ms of work. With 0.97, 0.4% of the admitted requests failed
and 0.93 of the capacity was used; with 1.03, 2 to 2.6% and 0.96 (docs/design/platform.md)."""

ESTIMATE_SECONDS = 0.5
"""Time constant of the demand estimates."""

RAISE_SECONDS = 0.1
"""Time constant with which the threshold rises."""

LOWER_SECONDS = 0.2
"""Time constant with which the threshold falls."""

BACKLOG_SECONDS = 1.0
"""Time within which a queue beyond the target is drained.

With 0.3 s, fewer requests failed and fewer were served (docs/design/compared-policies.md)."""

UTILIZATION_SECONDS = 0.2
"""Time constant of the measured utilization."""

MIN_UTILIZATION = 0.8
"""The threshold rises only above this utilization, because the demand estimates are noisy."""

MIN_ADMITTED_FRACTION = 0.04
"""Lower bound of the admitted fraction, so that one arrival counts as at most 25."""

SERVICE_TIME_WEIGHT = 0.02
"""Weight of one finished request in the mean service time of its class."""

MIN_STEP_SECONDS = 0.02
"""Minimum interval between two steps; matches the tick of the daemon."""

CLASSES = tuple(Importance)


class MarginalClass(msgspec.Struct, frozen=True, gc=False):
    """The class that fits into the capacity only in part, and the slots left for it."""

    importance: Importance
    available: float


class _ClassEstimate:
    """Estimates of one importance class."""

    __slots__ = ("arrivals", "demand", "returning_arrivals", "returning_demand", "seconds")

    def __init__(self) -> None:
        self.arrivals = 0.0
        self.returning_arrivals = 0.0
        self.seconds = 0.0
        self.demand = 0.0
        self.returning_demand = 0.0


class DemandThreshold:
    """Computes the threshold step by step. Times are in seconds.

    Parameters
    ----------
    now
        Time of creation.

    Attributes
    ----------
    drains_backlog
        Whether the threshold rises to drain a long queue. With fair shares, the callers that the
        queued requests belong to are limited instead (:mod:`finchshed.admission.share_limits`).
    """

    def __init__(self, now: float) -> None:
        self.drains_backlog = True
        self._slots = 0.0
        self._created_at = now
        self._stepped_at = now
        self._classes = tuple(_ClassEstimate() for _ in CLASSES)
        self._cutoff = 0.0
        self._utilization = 0.0

    @property
    def value(self) -> int:
        """Requests of a lower rank are currently refused."""
        return rank_of_cutoff(self._cutoff)

    @property
    def marginal_class(self) -> MarginalClass | None:
        """The class that the threshold divides; None if nothing is refused."""
        if self._cutoff <= 0.0:
            return None
        importance = CLASSES[min(int(self._cutoff), len(CLASSES) - 1)]
        admitted = 1.0 - min(1.0, self._cutoff - importance)
        more_important = sum(
            item.demand + item.returning_demand for item in self._classes[importance + 1 :]
        )
        # The threshold follows its target with a delay, so it may leave fewer slots than there are.
        slots = max(admitted * self._classes[importance].demand, self._slots - more_important)
        return MarginalClass(importance, slots)

    def demand_of(self, importance: Importance) -> float:
        """Return the slots that a class would use if all of it were admitted (for tests)."""
        return self._classes[importance].demand

    def on_arrival(
        self, rank: int, admitted_fraction: float, calls: float = 1.0, *, returning: bool = False
    ) -> None:
        """Count a request that reached the gate.

        Parameters
        ----------
        admitted_fraction
            Fraction of its class that was admitted when its root request was.
        calls
            Number of calls it stands for. The first call announces all that its request is
            expected to make, so that calls which are never made still count as demand.
        returning
            Whether its root request returned with a reservation; such requests aren't shed within
            their class, and new ones get the remaining capacity.
        """
        if returning:
            self._classes[importance_of(rank)].returning_arrivals += calls
            return
        weight = calls / max(admitted_fraction, MIN_ADMITTED_FRACTION)
        self._classes[importance_of(rank)].arrivals += weight

    def on_finish(self, rank: int, seconds: float) -> None:
        """Record the time one request took at the back end."""
        estimate = self._classes[importance_of(rank)]
        if estimate.seconds == 0.0:
            estimate.seconds = seconds
        estimate.seconds = moving_average(estimate.seconds, seconds, SERVICE_TIME_WEIGHT)

    def on_queue(self, queued: int) -> None:
        """Do nothing: :meth:`step` receives the length of the queue."""

    def step(
        self, now: float, *, running: int, queued: int, limit: int, mean_seconds: float
    ) -> None:
        """Update the estimates and move the threshold, if a step is due.

        Parameters
        ----------
        limit
            Number of requests the back end runs concurrently.
        mean_seconds
            Mean time of a request at the back end.
        """
        elapsed = now - self._stepped_at
        if elapsed < MIN_STEP_SECONDS:
            return
        self._stepped_at = now
        self._update_estimates(elapsed, now)
        utilization = (running + queued) / limit
        weight = _smoothing_weight(elapsed, UTILIZATION_SECONDS)
        self._utilization = moving_average(self._utilization, utilization, weight)
        self._slots = TARGET_UTILIZATION * limit
        target = self._target_cutoff(queued * mean_seconds if self.drains_backlog else 0.0)
        if target > self._cutoff:
            if self._utilization >= MIN_UTILIZATION:
                # Skip the classes without demand: refusing them frees no slots.
                begin = max(self._cutoff, min(target, self._lowest_active_class()))
                self._cutoff = begin + _smoothing_weight(elapsed, RAISE_SECONDS) * (target - begin)
        else:
            self._cutoff += _smoothing_weight(elapsed, LOWER_SECONDS) * (target - self._cutoff)

    def _update_estimates(self, elapsed: float, now: float) -> None:
        kept = 1.0 - _smoothing_weight(elapsed, ESTIMATE_SECONDS)
        # Corrects the bias towards 0 while the gate is younger than the time constant.
        filled = _smoothing_weight(now - self._created_at, ESTIMATE_SECONDS)
        for estimate in self._classes:
            covered = ESTIMATE_SECONDS * filled
            estimate.demand = estimate.arrivals * estimate.seconds / covered
            estimate.arrivals *= kept
            estimate.returning_demand = estimate.returning_arrivals * estimate.seconds / covered
            estimate.returning_arrivals *= kept

    def _lowest_active_class(self) -> float:
        active = (
            float(item)
            for item in CLASSES
            if self._classes[item].demand > 0.0 or self._classes[item].returning_demand > 0.0
        )
        return min(active, default=0.0)

    def _target_cutoff(self, backlog: float) -> float:
        """Return the cutoff at which the demand fits; ``backlog`` is the queued work, seconds."""
        available = max(0.0, self._slots - backlog / BACKLOG_SECONDS)
        for importance in reversed(CLASSES):
            estimate = self._classes[importance]
            demand, returning = estimate.demand, estimate.returning_demand
            if returning and available > 0.0 and demand + returning > available:
                # Reservations were made for capacity that the class has, so they are kept.
                remaining = max(0.0, available - returning)
                fraction = max(remaining / demand if demand else 0.0, 1.0 / POSITIONS)
                return importance + 1.0 - fraction
            if demand > available:
                return importance + 1.0 - available / demand
            available = max(0.0, available - demand - returning)
        return 0.0


def _smoothing_weight(elapsed: float, time_constant: float) -> float:
    """Return the weight of a new sample after ``elapsed`` seconds of exponential smoothing."""
    return 1.0 - math.exp(-elapsed / time_constant)
