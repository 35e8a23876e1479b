"""Admission threshold derived from the standing queue and the ranks of arriving requests.

The threshold lets callers shed requests that the gate would refuse, before they cost a hop. If the
queue does not empty during a whole window, the threshold is set to the rank at which the arrivals
above it match the measured capacity, using a histogram of ranks as in DAGOR (Zhou et al., *Overload
Control for Scaling WeChat Microservices*, SoCC 2018). Once the queue has emptied, the threshold is
lowered in steps that double, because callers no longer send what lies below it and the histogram
holds no data there.

Used beside back ends that don't register; see :mod:`finchshed.admission.demand_threshold` for the
others.
"""

from finchshed.admission.rank import RANKS

WINDOW_SECONDS = 0.05
"""Interval between updates of the threshold."""

BUCKET_BITS = 11
"""Width of a histogram bucket in ranks, as a power of two."""

BUCKETS = RANKS >> BUCKET_BITS
"""Buckets of the histogram: 32 for each importance class, with and without a session."""

HISTOGRAM_DECAY = 0.8
"""Fraction of the histogram carried over from one window to the next."""

CAPACITY_MARGIN = 1.1
"""Admitted arrivals as a multiple of the capacity, above 1 so that the queue never runs empty."""

MIN_TARGET_DELAY_SECONDS = 0.005
"""Standing queueing delay that is tolerated even if half the mean request time is shorter."""


class QueueThreshold:
    """Computes the threshold window by window.

    Parameters
    ----------
    now
        Time of creation, seconds.
    window
        Length of a window, seconds.
    """

    def __init__(self, now: float, window: float = WINDOW_SECONDS) -> None:
        self._window = window
        self._window_start = now
        self._arrivals = [0.0] * BUCKETS
        self._covered_seconds = 0.0
        self._shortest_queue = 0
        self._bucket = 0
        self._release_step = 1

    @property
    def value(self) -> int:
        """Requests of a lower rank are currently refused."""
        return self._bucket << BUCKET_BITS

    def on_arrival(
        self,
        rank: int,
        admitted_fraction: float = 1.0,
        calls: float = 1.0,
        *,
        returning: bool = False,
    ) -> None:
        """Count a request that reached the gate; only its rank matters here."""
        self._arrivals[rank >> BUCKET_BITS] += 1.0

    def on_queue(self, queued: int) -> None:
        """Record the length of the queue after a change."""
        self._shortest_queue = min(self._shortest_queue, queued)

    def on_finish(self, rank: int, seconds: float) -> None:
        """Do nothing: :meth:`step` receives the mean time."""

    def step(
        self, now: float, *, running: int, queued: int, limit: int, mean_seconds: float
    ) -> None:
        """Update the threshold from the state of the gate, if the window is over."""
        target_delay = max(MIN_TARGET_DELAY_SECONDS, mean_seconds / 2)
        self.update(now, queued, limit / mean_seconds, target_delay * limit / mean_seconds)

    def update(self, now: float, queued: int, rate: float, target_queue: float) -> None:
        """Close the window if it is over, and update the threshold.

        Parameters
        ----------
        queued
            Requests queued now.
        rate
            Requests the back end finishes per second when it is kept busy.
        target_queue
            Length of the standing queue that is tolerated.
        """
        elapsed = now - self._window_start
        if elapsed < self._window:
            return
        self._covered_seconds += elapsed
        if self._shortest_queue > target_queue:
            self._raise(rate * self._covered_seconds)
        elif self._shortest_queue == 0:
            self._lower()
        self._window_start = now
        self._shortest_queue = queued
        self._arrivals = [count * HISTOGRAM_DECAY for count in self._arrivals]
        self._covered_seconds *= HISTOGRAM_DECAY

    def _raise(self, capacity: float) -> None:
        """Set the threshold so that the arrivals above it fit the capacity; never lower it.

        Below the current threshold the histogram is empty, because callers shed there.
        """
        self._release_step = 1
        available = max(1.0, capacity * CAPACITY_MARGIN)
        admitted = 0.0
        bucket = BUCKETS
        while bucket > self._bucket and admitted + self._arrivals[bucket - 1] <= available:
            bucket -= 1
            admitted += self._arrivals[bucket]
        self._bucket = min(bucket, BUCKETS - 1)

    def _lower(self) -> None:
        if self._bucket == 0:
            return
        self._bucket = max(0, self._bucket - self._release_step)
        self._release_step *= 2
