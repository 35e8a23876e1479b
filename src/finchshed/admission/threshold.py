"""Admission threshold of one back end, from its standing queue and the ranks of its arrivals.

The gate's priority queue decides exactly; the threshold tells callers which requests have no chance
so that they are shed before they cost a hop. While the queue does not empty for a whole window, the
threshold is set to the rank at which the arrivals above it match the measured capacity (the
histogram of DAGOR, SoCC 2018). Once the queue has emptied, the threshold falls in steps that
double, because callers no longer send what lies below it and the histogram can't show it.

Inputs: rank of each arrival, length of the queue, and with each step the rate that the back end
reaches (requests a second). Owns the histogram and the threshold; the gate refuses by it. Measured
in docs/design/admission.md. Beside back ends that register the threshold is by demand instead.
"""

from finchshed.admission.rank import RANKS

WINDOW_SECONDS = 0.05
"""Seconds over which arrivals and the standing queue are judged. Chosen, not measured."""

BUCKET_BITS = 11
"""Ranks within one bucket of the histogram, as a power of two. Chosen, not measured."""

BUCKETS = RANKS >> BUCKET_BITS
"""Buckets of the histogram: 32 for each class of rank and session."""

MEMORY = 0.8
"""Part of the histogram that is kept from one window to the next. Chosen, not measured."""

MARGIN = 1.1
"""Arrivals let through, as a multiple of the capacity, so that the queue never runs dry.
Chosen, not measured."""

MIN_TARGET_DELAY_SECONDS = 0.005
"""Standing queueing delay, seconds, that is always tolerated; half the mean time of a request is
where that is more. Chosen, not measured."""


class AdmissionThreshold:
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
        self._covered = 0.0
        self._shortest_queue = 0
        self._bucket = 0
        self._release_step = 1

    @property
    def value(self) -> int:
        """Ranks below this one are refused at present."""
        return self._bucket << BUCKET_BITS

    def on_arrival(self, rank: int, admitted_fraction: float = 1.0, calls: float = 1.0) -> None:
        """Count a request that reached the gate, whatever it stands for."""
        self._arrivals[rank >> BUCKET_BITS] += 1.0

    def on_queue(self, queued: int) -> None:
        """Note the length of the queue after a change."""
        self._shortest_queue = min(self._shortest_queue, queued)

    def on_finish(self, rank: int, seconds: float) -> None:
        """Do nothing: each step is given the mean time."""

    def step(
        self, now: float, *, running: int, queued: int, limit: int, mean_seconds: float
    ) -> None:
        """Compute the threshold from the state of the gate, if the window is over."""
        target_delay = max(MIN_TARGET_DELAY_SECONDS, mean_seconds / 2)
        self.update(now, queued, limit / mean_seconds, target_delay * limit / mean_seconds)

    def update(self, now: float, queued: int, rate: float, target_queue: float) -> None:
        """Close the window if it is over and compute the threshold.

        Parameters
        ----------
        queued
            Requests queued now.
        rate
            Requests the back end finishes each second when it is kept busy.
        target_queue
            Standing queue that is tolerated, requests.
        """
        elapsed = now - self._window_start
        if elapsed < self._window:
            return
        self._covered += elapsed
        if self._shortest_queue > target_queue:
            self._raise(rate * self._covered)
        elif self._shortest_queue == 0:
            self._release()
        self._window_start = now
        self._shortest_queue = queued
        self._arrivals = [count * MEMORY for count in self._arrivals]
        self._covered *= MEMORY

    def _raise(self, capacity: float) -> None:
        """Set the threshold where the arrivals above it fit; never lower than it is.

        Below it the histogram shows nothing, because callers shed there.
        """
        self._release_step = 1
        room = max(1.0, capacity * MARGIN)
        admitted = 0.0
        bucket = BUCKETS
        while bucket > self._bucket and admitted + self._arrivals[bucket - 1] <= room:
            bucket -= 1
            admitted += self._arrivals[bucket]
        self._bucket = min(bucket, BUCKETS - 1)

    def _release(self) -> None:
        if self._bucket == 0:
            return
        self._bucket = max(0, self._bucket - self._release_step)
        self._release_step *= 2
