"""What a caller's daemon knows of one endpoint."""

import math

from finchshed.common.results import CallResult
from finchshed.configuration.resources import Endpoint, EndpointState
from finchshed.link.messages import LoadReport

LATENCY_WEIGHT = 0.1
"""Weight of one answer in the mean latency."""

REPORT_VALIDITY_SECONDS = 0.5
"""A report's threshold and delay fade to nothing over this time."""

PROBE_INTERVAL_SECONDS = 0.05
"""Below the threshold one request is let through each interval, so that a stale one is seen."""

FAILURE_PENALTY_SECONDS = 1.0
"""A fast failure weighs like a call in flight, fading with this time constant."""

SLOW_START_SECONDS = 10.0
"""Time over which a new back end's weight grows to 1."""

SLOW_START_WEIGHT = 0.1
"""Weight a new back end starts with."""

NO_REPORT = LoadReport()


class EndpointView:
    """One endpoint as seen by one caller's daemon.

    Parameters
    ----------
    endpoint
        Its declaration.
    cold_since
        When it was first seen as new, seconds; None for one that was there from the start.
    """

    __slots__ = (
        "_cold_since",
        "_last_probe",
        "_penalty",
        "_penalty_at",
        "_report",
        "_report_at",
        "consecutive_failures",
        "ejected_until",
        "ejections",
        "endpoint",
        "in_flight",
        "incarnation",
        "leaving",
        "link_down_until",
        "mean_latency",
    )

    def __init__(self, endpoint: Endpoint, cold_since: float | None) -> None:
        self.endpoint = endpoint
        self.in_flight = 0
        self.mean_latency = 0.0
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.link_down_until = 0.0
        self.leaving = endpoint.state is EndpointState.LEAVING
        self.incarnation = ""
        self._cold_since = cold_since
        self._report = NO_REPORT
        self._report_at = float("-inf")
        self._last_probe = float("-inf")
        self._penalty = 0.0
        self._penalty_at = 0.0

    def is_available(self, now: float) -> bool:
        """Return whether new work may be sent."""
        return not self.leaving and now >= self.ejected_until and now >= self.link_down_until

    def weight(self, now: float) -> float:
        """Return the share of full load the endpoint is given; below 1 while it warms up."""
        if self._cold_since is None:
            return 1.0
        age = now - self._cold_since
        if age >= SLOW_START_SECONDS:
            self._cold_since = None
            return 1.0
        return SLOW_START_WEIGHT + (1.0 - SLOW_START_WEIGHT) * age / SLOW_START_SECONDS

    def threshold(self, now: float) -> float:
        """Return the last threshold told, fading with its age."""
        if not self._report.threshold:
            return 0.0
        return self._report.threshold * self._freshness(now)

    def admits(self, rank: int, now: float) -> bool:
        """Return whether a request of ``rank`` is worth sending."""
        return rank >= self.threshold(now)

    def take_probe(self, now: float) -> bool:
        """Return whether a request below the threshold may go now as a probe."""
        if now - self._last_probe < PROBE_INTERVAL_SECONDS:
            return False
        self._last_probe = now
        return True

    def is_full(self, now: float) -> bool:
        """Return whether the endpoint has no free slot by its own report and our own count."""
        limit = (self._report.limit or self.endpoint.slots) * self.weight(now)
        if self.in_flight >= limit:
            return True
        return self._report.queue_delay * self._freshness(now) > self.mean_latency > 0.0

    def cost(self, now: float) -> float:
        """Return the expected wait of one more request, seconds; lower is better."""
        limit = (self._report.limit or self.endpoint.slots) * self.weight(now)
        penalty = self._penalty_now(now)
        ours = (self.in_flight + 1 + penalty) * max(self.mean_latency, 0.001) / limit
        return ours + self._report.queue_delay * self._freshness(now)

    def on_report(self, load: LoadReport, now: float) -> None:
        """Take a report that came with an answer or a heartbeat."""
        self._report = load
        self._report_at = now
        if load.draining:
            self.leaving = True

    def on_result(self, result: CallResult, latency: float, now: float) -> None:
        """Take the end of one attempt; ``latency`` in seconds."""
        if result is CallResult.OK:
            self.consecutive_failures = 0
            if self.mean_latency == 0.0:
                self.mean_latency = latency
            self.mean_latency += LATENCY_WEIGHT * (latency - self.mean_latency)
        elif result is CallResult.ERROR or result is CallResult.FAILED:
            self.consecutive_failures += 1
            self._penalty = self._penalty_now(now) + 1.0
            self._penalty_at = now

    def _freshness(self, now: float) -> float:
        return max(0.0, 1.0 - (now - self._report_at) / REPORT_VALIDITY_SECONDS)

    def _penalty_now(self, now: float) -> float:
        if self._penalty == 0.0:
            return 0.0
        return self._penalty * math.exp((self._penalty_at - now) / FAILURE_PENALTY_SECONDS)
