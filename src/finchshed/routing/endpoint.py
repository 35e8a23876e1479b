"""What a caller's daemon knows of one endpoint."""

import enum
import math

from finchshed.admission.load_report import LoadReport
from finchshed.admission.paths import NO_THRESHOLD, PathThreshold, freshness
from finchshed.admission.rank import RANKS
from finchshed.common.results import CallResult
from finchshed.configuration.resources import Endpoint, EndpointState

LATENCY_WEIGHT = 0.1
"""Weight of one answer in the mean latency."""

FAILURE_PENALTY_SECONDS = 1.0
"""A fast failure weighs like a call in flight, fading with this time constant."""

FAILING_PENALTY = 1.0
"""Penalty from which an endpoint counts as failing."""

SLOW_START_WEIGHT = 0.1
"""Weight a new back end starts with."""

LATENCY_MEMORY_SECONDS = 1.0
"""What an endpoint's mean latency differs from its service's fades with this time constant.

Else an endpoint whose first answer was slow is never drawn again, and never shows that it is fast.
"""

MIN_LATENCY_SECONDS = 0.001
"""Latencies below this are not told apart when endpoints are compared."""

NO_REPORT = LoadReport()


class LeavingSign(enum.IntFlag):
    """Where it is known from that an endpoint is leaving; any one sign suffices."""

    NONE = 0
    DRAINING = 1
    """Its own daemon or back end says so."""

    CONFIGURATION = 2
    """An operator declared it."""

    PLATFORM = 4
    """The platform's list of machines says so."""


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
        "_answered_at",
        "_cold_since",
        "_penalty",
        "_penalty_at",
        "_report",
        "_report_at",
        "consecutive_failures",
        "ejected_until",
        "ejections",
        "endpoint",
        "group",
        "in_flight",
        "incarnation",
        "leaving",
        "link_down_until",
        "link_failures",
        "mean_latency",
        "place",
    )

    def __init__(self, endpoint: Endpoint, cold_since: float | None) -> None:
        self.endpoint = endpoint
        self.in_flight = 0
        self.mean_latency = 0.0
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.link_down_until = 0.0
        self.link_failures = 0
        self.leaving = LeavingSign.NONE
        self.incarnation = ""
        self.place = -1
        self.group: list[EndpointView] | None = None
        self._answered_at = float("-inf")
        self._cold_since = cold_since
        self._report = NO_REPORT
        self._report_at = float("-inf")
        self._penalty = 0.0
        self._penalty_at = 0.0
        self.declare(endpoint)

    def declare(self, endpoint: Endpoint) -> None:
        """Take a changed declaration."""
        self.endpoint = endpoint
        self.set_sign(LeavingSign.CONFIGURATION, endpoint.state is EndpointState.LEAVING)

    def set_sign(self, sign: LeavingSign, is_leaving: bool) -> None:
        """Take what one source says."""
        self.leaving = self.leaving | sign if is_leaving else self.leaving & ~sign

    def is_available(self, now: float) -> bool:
        """Return whether new work may be sent."""
        return not self.leaving and now >= self.available_at()

    def available_at(self) -> float:
        """Return when an endpoint that is not leaving may be sent work again."""
        return max(self.ejected_until, self.link_down_until)

    def weight(self, now: float) -> float:
        """Return the share of full load the endpoint is given; below 1 while it warms up."""
        if self._cold_since is None:
            return 1.0
        age = now - self._cold_since
        warm_up = self.endpoint.warm_up_seconds
        if age >= warm_up:
            self._cold_since = None
            return 1.0
        return SLOW_START_WEIGHT + (1.0 - SLOW_START_WEIGHT) * age / warm_up

    def floor(self, route: str, now: float) -> PathThreshold:
        """Return the threshold that requests of a route meet here or further down."""
        if not self._report.threshold and not self._report.paths:
            return NO_THRESHOLD
        age = now - self._report_at
        own = NO_THRESHOLD
        if self._report.threshold:
            own = PathThreshold(self._report.threshold, 0).aged(age)
        below = self._report.paths.get(route)
        if below is None:
            return own
        below = below.aged(age)
        return below if below.value > own.value else own

    def is_known(self, now: float) -> bool:
        """Return whether a report has come lately."""
        return self._freshness(now) > 0.0

    def report_age(self, now: float) -> float:
        """Return the seconds since the last report; negative where none came."""
        return now - self._report_at if self._report_at > 0.0 else -1.0

    def admits(self, rank: int, route: str, now: float) -> bool:
        """Return whether a request of ``rank`` is worth sending."""
        return rank >= RANKS or rank >= self.floor(route, now).value

    def is_full(self, now: float) -> bool:
        """Return whether the endpoint has no free slot by its own report and our own count."""
        if self.in_flight >= self._limit(now):
            return True
        return self._report.queue_delay * self._freshness(now) > self.mean_latency > 0.0

    def cost(self, usual_latency: float, now: float) -> float:
        """Return the expected wait of one more request, seconds; lower is better.

        Parameters
        ----------
        usual_latency
            Mean latency over the service, for an endpoint that has not answered yet.
        """
        latency = self._latency(usual_latency, now)
        queued = self.in_flight + 1 + self._penalty_now(now)
        ours = queued * max(latency, MIN_LATENCY_SECONDS) / self._limit(now)
        return ours + self._report.queue_delay * self._freshness(now)

    def expected_seconds(self, usual_latency: float, now: float) -> float:
        """Return how long an answer should take; lately failed attempts make it longer."""
        latency = self._latency(usual_latency, now)
        queued = self._report.queue_delay * self._freshness(now)
        return latency * (1.0 + self._penalty_now(now)) + queued

    def is_failing(self, now: float) -> bool:
        """Return whether attempts failed lately."""
        return self._penalty_now(now) >= FAILING_PENALTY

    def on_report(self, load: LoadReport, now: float) -> None:
        """Take a report that came with an answer or a heartbeat."""
        self._report = load
        self._report_at = now
        self.set_sign(LeavingSign.DRAINING, load.draining)

    def on_result(
        self, result: CallResult, latency: float, usual_latency: float, now: float
    ) -> None:
        """Take the end of one attempt; ``latency`` in seconds, ``usual_latency`` the service's."""
        if result is CallResult.OK:
            self.consecutive_failures = 0
            mean = self._latency(usual_latency, now) if self.mean_latency else latency
            self.mean_latency = mean + LATENCY_WEIGHT * (latency - mean)
            self._answered_at = now
        elif result is CallResult.ERROR or result is CallResult.FAILED:
            self.consecutive_failures += 1
            self._penalty = self._penalty_now(now) + 1.0
            self._penalty_at = now

    def _latency(self, usual: float, now: float) -> float:
        """Return the latency to expect: the mean, faded to the usual one with its age."""
        if self.mean_latency == 0.0:
            return usual
        kept = math.exp((self._answered_at - now) / LATENCY_MEMORY_SECONDS)
        return usual + kept * (self.mean_latency - usual)

    def _limit(self, now: float) -> float:
        """Return the work it takes: what is declared bounds what it says of itself."""
        slots = self.endpoint.slots
        return min(self._report.limit or slots, slots) * self.weight(now)

    def _freshness(self, now: float) -> float:
        return freshness(now - self._report_at)

    def _penalty_now(self, now: float) -> float:
        if self._penalty == 0.0:
            return 0.0
        return self._penalty * math.exp((self._penalty_at - now) / FAILURE_PENALTY_SECONDS)
