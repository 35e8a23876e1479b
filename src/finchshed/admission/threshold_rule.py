"""Interface of the rules that compute the admission threshold of a gate.

Implemented by :mod:`finchshed.admission.demand_threshold` and
:mod:`finchshed.admission.queue_threshold`.
"""

import enum
from typing import Protocol


class ThresholdRule(enum.Enum):
    """Rule by which a gate computes its threshold."""

    BY_QUEUE = "by_queue"
    """By the standing queue and the arriving ranks (:mod:`finchshed.admission.queue_threshold`)."""

    BY_DEMAND = "by_demand"
    """By the estimated demand of each class (:mod:`finchshed.admission.demand_threshold`)."""


class Threshold(Protocol):
    """Admission threshold of a gate, updated by the events of the gate."""

    @property
    def value(self) -> int:
        """Requests of a lower rank are currently refused."""

    def on_arrival(
        self, rank: int, admitted_fraction: float, calls: float, *, returning: bool = False
    ) -> None:
        """Count a request that reached the gate.

        Parameters
        ----------
        admitted_fraction
            Fraction of its class that was admitted when its root request was.
        calls
            Number of calls it stands for (``announced_calls`` of its context).
        returning
            Whether its root request returned with a reservation.
        """

    def on_finish(self, rank: int, seconds: float) -> None:
        """Record the time one request took at the back end."""

    def on_queue(self, queued: int) -> None:
        """Record the length of the queue after a change."""

    def step(
        self, now: float, *, running: int, queued: int, limit: int, mean_seconds: float
    ) -> None:
        """Recompute the threshold, if a step is due.

        Parameters
        ----------
        limit
            Number of requests the back end runs concurrently.
        mean_seconds
            Mean time of a request at the back end, above 0.
        """
