"""What a caller's daemon knows of one endpoint, and what it expects of it.

Inputs: load reports (threshold as a rank, queueing delay in seconds, limit in requests) with their
age, results and latencies of the own attempts, and signs that it drains. Owns nothing else; the
table hands the inputs in, and compares endpoints by :meth:`EndpointView.cost` and
:meth:`EndpointView.expected_seconds`.
"""

import enum
import math

from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_thresholds import NO_THRESHOLD, PathThreshold, remaining_weight
from finchshed.admission.rank import RANKS
from finchshed.common.moving_average import moving_average
from finchshed.common.results import CallResult
from finchshed.configuration.resources import Endpoint, EndpointState

ENDPOINT_LATENCY_WEIGHT = 0.1
"""Weight of one answer in the endpoint's mean latency: about the last 10. Chosen, not measured."""

FAILURE_PENALTY_SECONDS = 1.0
"""A fast failure weighs like a call in flight, fading with this time constant. Chosen, not
measured; an endpoint that fails each call gets under 5% of 2,000 (tests/routing/test_table.py)."""

FAILING_PENALTY = 1.0
"""Penalty, failures, from which an endpoint counts as failing: one just now. Chosen, not
measured."""

SLOW_START_WEIGHT = 0.1
"""Fraction of full load that a new back end starts with. Chosen, not measured; it gets at most 10
of its first 100 calls among five (tests/routing/test_table.py)."""

LATENCY_MEMORY_SECONDS = 1.0
"""What an endpoint's mean latency differs from its service's fades with this time constant.

Else an endpoint whose first answer was slow is never drawn again, and never shows that it is fast:
one of ten whose first answer took 20 s got 4 of the last 1,000 calls (docs/design/routing.md).
"""

MIN_LATENCY_SECONDS = 0.001
"""Latencies below this are not told apart when endpoints are compared. Chosen, not measured."""

NO_REPORT = LoadReport()


class DrainSource(enum.IntFlag):
    """Where it is known from that an endpoint drains; any one sign suffices."""

    NONE = 0
    REPORTED = 1
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
        "drain_sources",
        "ejected_until",
        "ejections",
        "endpoint",
        "group",
        "in_flight",
        "incarnation",
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
        self.drain_sources = DrainSource.NONE
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
        """Act on a changed declaration."""
        self.endpoint = endpoint
        self.set_drain_source(DrainSource.CONFIGURATION, endpoint.state is EndpointState.LEAVING)

    def set_drain_source(self, sign: DrainSource, is_set: bool) -> None:
        """Set or clear the sign of one source."""
        self.drain_sources = self.drain_sources | sign if is_set else self.drain_sources & ~sign

    @property
    def is_draining(self) -> bool:
        """Whether any source says that it drains."""
        return bool(self.drain_sources)

    def is_available(self, now: float) -> bool:
        """Return whether new work may be sent."""
        return not self.drain_sources and now >= self.available_at()

    def available_at(self) -> float:
        """Return when an endpoint that doesn't drain may be sent work again, seconds."""
        return max(self.ejected_until, self.link_down_until)

    def weight(self, now: float) -> float:
        """Return the fraction of full load the endpoint is given; below 1 while it warms up."""
        if self._cold_since is None:
            return 1.0
        age = now - self._cold_since
        warm_up = self.endpoint.warm_up_seconds
        if age >= warm_up:
            self._cold_since = None
            return 1.0
        return SLOW_START_WEIGHT + (1.0 - SLOW_START_WEIGHT) * age / warm_up

    def path_threshold(self, route: str, now: float) -> PathThreshold:
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

    def has_recent_report(self, now: float) -> bool:
        """Return whether a report has come lately."""
        return self._freshness(now) > 0.0

    def report_age(self, now: float) -> float:
        """Return the seconds since the last report; negative where none came."""
        return now - self._report_at if self._report_at > 0.0 else -1.0

    def admits(self, rank: int, route: str, now: float) -> bool:
        """Return whether a request of ``rank`` is worth sending."""
        return rank >= RANKS or rank >= self.path_threshold(route, now).value

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
        """Hold a report that came with an answer or a heartbeat."""
        self._report = load
        self._report_at = now
        self.set_drain_source(DrainSource.REPORTED, load.draining)

    def on_result(
        self, result: CallResult, latency: float, usual_latency: float, now: float
    ) -> None:
        """Count the end of one attempt; latencies in seconds, ``usual_latency`` the service's."""
        if result is CallResult.OK:
            self.consecutive_failures = 0
            mean = self._latency(usual_latency, now) if self.mean_latency else latency
            self.mean_latency = moving_average(mean, latency, ENDPOINT_LATENCY_WEIGHT)
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
        """Return the work it takes: what is declared bounds what it reports."""
        slots = self.endpoint.slots
        return min(self._report.limit or slots, slots) * self.weight(now)

    def _freshness(self, now: float) -> float:
        return remaining_weight(now - self._report_at)

    def _penalty_now(self, now: float) -> float:
        if self._penalty == 0.0:
            return 0.0
        return self._penalty * math.exp((self._penalty_at - now) / FAILURE_PENALTY_SECONDS)
