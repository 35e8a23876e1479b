"""State of one endpoint as seen by a calling daemon, and the cost of sending it a request.

Derived from load reports and their age, results and latencies of this daemon's own attempts, and
notices that the endpoint is draining. Endpoints are compared by :meth:`EndpointView.cost` and
:meth:`EndpointView.expected_seconds`.
"""

import enum
import math

from finchshed.admission.caller_thresholds import named_callers, reported_threshold
from finchshed.admission.load_report import LoadReport, RateReport
from finchshed.admission.path_thresholds import NO_THRESHOLD, PathThreshold, remaining_weight
from finchshed.admission.rank import RANKS
from finchshed.common.moving_average import moving_average
from finchshed.common.results import CallResult
from finchshed.configuration.resources import Endpoint, EndpointState
from finchshed.routing.backend_runs import BackendRun
from finchshed.routing.reported_work import ReportedWork

ENDPOINT_LATENCY_WEIGHT = 0.1
"""Weight of one answer in the endpoint's mean latency."""

FAILURE_PENALTY_SECONDS = 1.0
"""Time constant with which the penalty of a failure decays; it starts as one call in flight.

An endpoint that fails each call gets under 5% of 2,000 calls (tests/routing/test_table.py)."""

FAILING_PENALTY = 1.0
"""Penalty from which an endpoint counts as failing: that of one failure just now."""

SLOW_START_WEIGHT = 0.1
"""Fraction of full load with which a new back end starts.

A new endpoint among five gets at most 10 of its first 100 calls (tests/routing/test_table.py)."""

JOIN_SECONDS = 1.0
"""Time over which traffic ramps up where back ends report their slowdown, by which one that is
still slow is recognized."""

LATENCY_DECAY_SECONDS = 1.0
"""Time constant with which an endpoint's mean latency returns to the mean of its service.

Otherwise, an endpoint whose first answer was slow would never be chosen again. One of ten endpoints
whose first answer took 20 s got 4 of the last 1,000 calls (docs/design/routing.md)."""

MIN_LATENCY_SECONDS = 0.001
"""Latencies below this are treated as equal when endpoints are compared."""

MIN_CONCURRENCY = 0.01
"""Lower bound of the concurrency limit, to avoid division by 0."""

NO_REPORT = LoadReport()


class DrainSource(enum.IntFlag):
    """Sources that can mark an endpoint as draining; any one of them suffices."""

    NONE = 0
    REPORTED = 1
    """Its own daemon or back end."""

    CONFIGURATION = 2
    """The configuration, changed by an operator."""

    PLATFORM = 4
    """The platform's list of machines."""

    RUN = 8
    """The current run of its back end, for good."""


class EndpointView:
    """One endpoint as seen by one caller's daemon.

    Parameters
    ----------
    endpoint
        Its resource in the configuration.
    cold_since
        When it was first seen, seconds; None if it was in the first configuration.
    run
        What is known of the current run of its back end.

    Attributes
    ----------
    joins_quickly
        Whether traffic ramps up within ``JOIN_SECONDS``.
    """

    __slots__ = (
        "_answered_at",
        "_cold_since",
        "_penalty",
        "_penalty_at",
        "_report",
        "_report_at",
        "_turn_threshold",
        "_without_turn_until",
        "consecutive_failures",
        "drain_sources",
        "ejected_until",
        "ejections",
        "endpoint",
        "endpoint_list",
        "in_flight",
        "incarnation",
        "joins_quickly",
        "link_down_until",
        "link_failures",
        "mean_latency",
        "pool_index",
        "run",
        "work",
    )

    def __init__(self, endpoint: Endpoint, cold_since: float | None, run: BackendRun) -> None:
        self.endpoint = endpoint
        self.run = run
        self.work = ReportedWork()
        self.in_flight = 0
        self.mean_latency = 0.0
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.link_down_until = 0.0
        self.link_failures = 0
        self.drain_sources = DrainSource.NONE
        self.incarnation = ""
        self.joins_quickly = False
        self.pool_index = -1
        self.endpoint_list: list[EndpointView] | None = None
        self._answered_at = float("-inf")
        self._cold_since = cold_since
        self._report = NO_REPORT
        self._report_at = float("-inf")
        self._penalty = 0.0
        self._penalty_at = 0.0
        self._without_turn_until = 0.0
        self._turn_threshold = 0
        self.set_drain_source(DrainSource.RUN, run.is_leaving)
        self.update_endpoint(endpoint)

    def update_endpoint(self, endpoint: Endpoint) -> None:
        """Apply a changed configuration of the endpoint."""
        self.endpoint = endpoint
        self.set_drain_source(DrainSource.CONFIGURATION, endpoint.state is EndpointState.LEAVING)

    def set_drain_source(self, source: DrainSource, is_set: bool) -> None:
        """Set or clear the draining state reported by one source."""
        self.drain_sources = self.drain_sources | source if is_set else self.drain_sources & ~source

    @property
    def is_draining(self) -> bool:
        """Whether any source reports that it is draining."""
        return bool(self.drain_sources)

    @property
    def report(self) -> LoadReport:
        """The last load report, however old."""
        return self._report

    def is_available(self, now: float) -> bool:
        """Return whether new work may be sent."""
        return not self.drain_sources and now >= self.available_at()

    def available_at(self) -> float:
        """Return when new work may be sent again unless the endpoint is draining, seconds."""
        return max(self.ejected_until, self.link_down_until)

    def weight(self, now: float) -> float:
        """Return the fraction of full load to send; below 1 while the endpoint warms up."""
        if self._cold_since is None:
            return 1.0
        age = now - self._cold_since
        warm_up = self.endpoint.warm_up_seconds
        if self.joins_quickly:
            warm_up = min(warm_up, JOIN_SECONDS)
        if age >= warm_up:
            self._cold_since = None
            return 1.0
        return SLOW_START_WEIGHT + (1.0 - SLOW_START_WEIGHT) * age / warm_up

    def path_threshold(self, route: str, now: float) -> PathThreshold:
        """Return the higher of the endpoint's own threshold and that of its downstream calls."""
        if not self._report.threshold and not self._report.paths:
            return NO_THRESHOLD
        age = now - self._report_at
        own = NO_THRESHOLD
        if self._report.threshold:
            own = PathThreshold(self._report.threshold, 0).aged(age)
        downstream = self._report.paths.get(route)
        if downstream is None:
            return own
        downstream = downstream.aged(age)
        return downstream if downstream.value > own.value else own

    def threshold_for(self, caller: str | None, route: str, now: float) -> float:
        """Return the rank below which requests of a caller are refused; None is any caller."""
        common = self.path_threshold(route, now).value
        if caller is None or not (self._report.callers or self._report.path_callers):
            return common
        age = now - self._report_at
        return max(common, reported_threshold(self._report, caller, route, age))

    def named_callers(self, route: str) -> set[str]:
        """Return the callers that have a threshold of their own."""
        return named_callers(self._report, route)

    def completion(self, route: str) -> float:
        """Return the fraction of the requests of a route that complete, by the last report."""
        return self._report.accepted * self._report.completions.get(route, 1.0)

    @property
    def reported_in_flight(self) -> int:
        """Requests of all daemons in progress there by its last report, at least the own ones."""
        return max(self.in_flight, self._report.in_flight)

    def has_recent_report(self, now: float) -> bool:
        """Return whether a report was received recently."""
        return self._report_weight(now) > 0.0

    def report_age(self, now: float) -> float:
        """Return the seconds since the last report; negative if there was none."""
        return now - self._report_at if self._report_at > 0.0 else -1.0

    def admits(self, rank: int, route: str, now: float, caller: str | None = None) -> bool:
        """Return whether the endpoint would admit a request of ``rank``."""
        return rank >= RANKS or rank >= self.threshold_for(caller, route, now)

    def has_turn(self, rank: int, now: float) -> bool:
        """Return whether the rate limit of the back end leaves room for a request of ``rank``."""
        return now >= self._without_turn_until or rank >= self._turn_threshold

    def takes(self, rank: int, route: str, now: float, caller: str | None = None) -> bool:
        """Return whether the endpoint would admit a request of ``rank`` and has a turn for it."""
        return self.admits(rank, route, now, caller) and self.has_turn(rank, now)

    def is_full(self, now: float) -> bool:
        """Return whether no slot is free, by its report and this daemon's own calls in flight."""
        if self.in_flight >= max(1.0, self.limit(now)):
            return True
        return self._report.queue_delay * self._report_weight(now) > self.mean_latency > 0.0

    def cost(self, service_latency: float, now: float) -> float:
        """Return the expected wait of one more request, seconds.

        Parameters
        ----------
        service_latency
            Mean latency of the service, towards which that of the endpoint decays.
        """
        latency = self.expected_latency(service_latency, now) * self.work.slowdown(now)
        queued = self.in_flight + 1 + self.penalty(now)
        own_wait = queued * max(latency, MIN_LATENCY_SECONDS) / self.limit(now)
        return own_wait + self._report.queue_delay * self._report_weight(now)

    def expected_seconds(self, service_latency: float, now: float) -> float:
        """Return the expected time to an answer; recent failures increase it."""
        latency = self.expected_latency(service_latency, now) * self.work.slowdown(now)
        queued = self._report.queue_delay * self._report_weight(now)
        return latency * (1.0 + self.penalty(now)) + queued

    def is_slow(self, now: float) -> bool:
        """Return whether the endpoint reports that its work takes longer than usual."""
        return now < self.work.slow_until

    def is_failing(self, now: float) -> bool:
        """Return whether attempts failed recently."""
        return self.penalty(now) >= FAILING_PENALTY

    def on_report(self, load: LoadReport, now: float) -> None:
        """Store a report received with an answer or a heartbeat."""
        self._report = load
        self._report_at = now
        if self.work.on_report(load, now):
            self.consecutive_failures = 0
        self.set_drain_source(DrainSource.REPORTED, load.draining)
        if load.leaving:
            self.run.is_leaving = True
            self.set_drain_source(DrainSource.RUN, True)
        self._store_turns(load.rate, now)
        if load.is_rate_known:
            self.run.rate_limit = None if load.rate is None else load.rate.limit

    def _store_turns(self, rate: RateReport | None, now: float) -> None:
        self._without_turn_until = 0.0 if rate is None else now + rate.wait
        self._turn_threshold = 0 if rate is None else rate.threshold

    def on_result(
        self, result: CallResult, latency: float, service_latency: float, now: float
    ) -> None:
        """Record the result of one attempt; latencies are in seconds."""
        if result is CallResult.OK:
            self.consecutive_failures = 0
            mean = self.expected_latency(service_latency, now) if self.mean_latency else latency
            self.mean_latency = moving_average(mean, latency, ENDPOINT_LATENCY_WEIGHT)
            self._answered_at = now
            self.work.on_answer(latency)
        elif result is CallResult.ERROR or result is CallResult.FAILED:
            self.consecutive_failures += 1
            self._penalty = self.penalty(now) + 1.0
            self._penalty_at = now

    def expected_latency(self, service_latency: float, now: float) -> float:
        """Return the mean latency, decayed towards that of the service with its age."""
        if self.mean_latency == 0.0:
            return service_latency
        kept = math.exp((self._answered_at - now) / LATENCY_DECAY_SECONDS)
        return service_latency + kept * (self.mean_latency - service_latency)

    def limit(self, now: float) -> float:
        """Return the concurrency limit: the reported one, bounded by slots and rate limit."""
        slots = self.endpoint.slots
        limit = min(self._report.limit or slots, slots) * self.weight(now)
        rate_limit = self.run.rate_limit
        if rate_limit is None or self.mean_latency == 0.0:
            return limit
        # Requests in progress at the named rate (Little's law).
        return max(MIN_CONCURRENCY, min(limit, rate_limit * self.mean_latency))

    def _report_weight(self, now: float) -> float:
        return remaining_weight(now - self._report_at)

    def penalty(self, now: float) -> float:
        """Return the penalty of recent failures, as a number of requests in flight."""
        if self._penalty == 0.0:
            return 0.0
        return self._penalty * math.exp((self._penalty_at - now) / FAILURE_PENALTY_SECONDS)
