"""What a gate needs of a rule that sets its threshold, and the names of the two rules.

The rules themselves are :mod:`finchshed.admission.demand` and :mod:`finchshed.admission.threshold`.
"""

import enum
from typing import Protocol


class ThresholdRule(enum.Enum):
    """What sets the threshold of a gate."""

    BY_QUEUE = "by_queue"
    """The standing queue and the ranks that arrive (:mod:`finchshed.admission.threshold`)."""

    BY_DEMAND = "by_demand"
    """The estimated demand of each class (:mod:`finchshed.admission.demand`)."""


class Threshold(Protocol):
    """What a gate refuses by; it is notified of what passes through the gate."""

    @property
    def value(self) -> int:
        """Ranks below this one are refused at present."""

    def on_arrival(self, rank: int, admitted_fraction: float, calls: float) -> None:
        """Count a request that reached the gate.

        Parameters
        ----------
        admitted_fraction
            Fraction of its class that was admitted when its root request was.
        calls
            Calls that it stands for (``announced_calls`` of its context).
        """

    def on_finish(self, rank: int, seconds: float) -> None:
        """Count the time that one request took at the back end."""

    def on_queue(self, queued: int) -> None:
        """Note the length of the queue after a change."""

    def step(
        self, now: float, *, running: int, queued: int, limit: int, mean_seconds: float
    ) -> None:
        """Compute the threshold anew, if a step is due.

        Parameters
        ----------
        limit
            Requests that the back end runs at a time.
        mean_seconds
            Mean time of a request at the back end, above 0.
        """
