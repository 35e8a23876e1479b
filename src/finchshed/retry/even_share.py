"""Evens out the rates at which several daemons reserve the capacity of one service.

Load pattern: several daemons refuse clients of one service. Returns go before new requests, so
small differences between the daemons at the begin of an overload would persist, and some clients
would wait longer than others. Daemons with about an even share reserve an even one. A daemon with
much more demand than others keeps its share, and one with less reserves somewhat more than it has.
"""

import math

from finchshed.common.moving_average import moving_average

MAX_FACTOR = 1.25
"""Bound of the factor in both directions: at most a fifth of the reservations can't be kept if the
share is measured wrongly."""

SAMPLE_SECONDS = 0.05
"""Minimum interval between two samples of the share, about which it takes to change."""

AVERAGED_SAMPLES = 20
"""Number of samples that are averaged, about a second."""


class EvenShare:
    """Moving average of a daemon's share of the capacity.

    Attributes
    ----------
    factor
        Rate of reservations as a multiple of the rate of admitted requests.
    """

    __slots__ = ("_sampled_at", "_samples", "_share", "factor")

    def __init__(self) -> None:
        self.factor = 1.0
        self._share = 0.0
        self._samples = 0
        self._sampled_at = -math.inf

    def is_due(self, now: float) -> bool:
        """Return whether a sample may be taken."""
        return now - self._sampled_at >= SAMPLE_SECONDS

    def on_sample(self, share: float, daemons: int, now: float) -> None:
        """Record the share of this daemon among ``daemons``; 0 if it isn't known."""
        self._sampled_at = now
        if share <= 0.0:
            return
        self._samples = min(AVERAGED_SAMPLES, self._samples + 1)
        self._share = moving_average(self._share, share, 1.0 / self._samples)
        to_even = 1.0 / (self._share * daemons)
        if to_even < 1.0 / MAX_FACTOR:
            self.factor = 1.0
        else:
            self.factor = min(MAX_FACTOR, to_even)
