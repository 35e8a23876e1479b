"""Shares of capacity among the callers of one importance class.

Addresses the load in which one caller sends far more than the others and takes their capacity: the
demand threshold refuses the same fraction of every caller. Here, the callers of the marginal class
share the capacity that is left for the class by weighted max-min fairness. A caller that demands no
more than its share is served as if the others were not there. One that demands more gets a
threshold of its own within the class, at the position below which lies the fraction of its demand
beyond its share.

:mod:`finchshed.admission.demand_threshold` determines the marginal class and its capacity,
:mod:`finchshed.admission.caller_demand` the demands, and :mod:`finchshed.admission.start_tags` the
order in which requests of one class wait.
"""

from collections.abc import Mapping

import msgspec

from finchshed.admission.caller_demand import CallerDemands, CallerEstimate
from finchshed.admission.caller_thresholds import EXCESS_PREFIX, MAX_REPORTED_CALLERS
from finchshed.admission.demand_threshold import MIN_STEP_SECONDS, MarginalClass
from finchshed.admission.path_thresholds import DECAY_START_SECONDS
from finchshed.admission.rank import (
    admitted_rank,
    highest_rank_of,
    importance_of,
    lowest_rank_of,
    rank_of_cutoff,
)
from finchshed.admission.request_queue import QueuedRequest
from finchshed.admission.share_limits import ShareLimits
from finchshed.admission.start_tags import Flow, StartTags
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance

KNOWN_AFTER_SECONDS = DECAY_START_SECONDS
"""Time after which callers know the threshold of a caller, unless their links are broken."""

UNKNOWN_COST_SECONDS = 0.1
"""Cost of a request in the queue order while no service time is known; only ratios matter."""


class CallerShare(msgspec.Struct, frozen=True):
    """Present share and use of one caller in one class, for display.

    Attributes
    ----------
    demand_slots
        Slots that the caller would use if all of its requests were admitted.
    share_slots
        Slots that it may use: its demand, or its share if that is less.
    used_slots
        Slots that its started requests use.
    refused_per_second
        Its requests refused at the gate, per second.
    """

    caller: str
    importance: Importance
    weight: float
    demand_slots: float
    share_slots: float
    used_slots: float
    refused_per_second: float


class CallerShares:
    """Demand, shares, thresholds and queue order of the callers at one gate.

    Parameters
    ----------
    now
        Time of creation, seconds.
    weights
        Weights of callers; 1 for those that aren't listed.

    Attributes
    ----------
    classes
        Estimated demands, by importance class.
    limits
        Limits of the callers above their share, and the thresholds to report.
    """

    def __init__(self, now: float, weights: Mapping[str, float]) -> None:
        self.weights = weights
        self.classes = tuple(CallerDemands(now) for _ in Importance)
        self._tags = StartTags()
        self.limits = ShareLimits(self._tags, self._weight_of)
        self._stepped_at = now

    def on_arrival(self, context: CallContext) -> None:
        """Count a request that reached the gate."""
        demands = self.classes[context.importance]
        demands.on_arrival(context.caller, context.admitted_fraction, context.announced_calls)

    def on_start(self, request: QueuedRequest) -> None:
        """Record that a request was started."""
        flow = _flow_of(request)
        self.classes[flow.importance].of(flow.caller).started += 1.0
        self._tags.on_start(flow, request.start_tag, self._cost(flow))

    def on_finish(self, rank: int, caller: str, seconds: float | None) -> None:
        """Record the end of a started request and, if it ran, its time at the back end."""
        flow = Flow(importance_of(rank), caller)
        self._tags.on_end(flow)
        if seconds is not None:
            self.classes[flow.importance].on_finish(caller, seconds)

    def on_refused(self, request: QueuedRequest) -> None:
        """Record that a request was refused at the gate."""
        flow = _flow_of(request)
        self.classes[flow.importance].of(flow.caller).refused += 1.0

    def on_queued(self, request: QueuedRequest) -> None:
        """Record that a request waits."""
        self._tags.on_queued(_flow_of(request))

    def on_left_queue(self, request: QueuedRequest) -> None:
        """Record that a request waits no longer."""
        self._tags.on_left_queue(_flow_of(request))

    def admit(self, request: QueuedRequest, context: CallContext) -> None:
        """Set the place of a new request in the queue: by class, return and start tag.

        By the time that callers know of a threshold, a request that none was applied to comes from
        a caller that now sends far less than before (:mod:`finchshed.routing.offered_rates`).
        """
        flow = _flow_of(request)
        limited_since = self.classes[flow.importance].of(flow.caller).limited_since
        is_known = request.arrived - limited_since >= KNOWN_AFTER_SECONDS
        request.is_limited = context.admitted_fraction < 1.0 or not is_known
        # Capacity is reserved for returns, so they don't wait for the turn of their caller.
        place = highest_rank_of if context.returning else lowest_rank_of
        request.rank = admitted_rank(place(flow.importance))
        request.start_tag = self._tags.next_tag(flow, self._cost(flow))

    def threshold_of(self, request: QueuedRequest) -> int:
        """Return the rank below which a request is refused."""
        limits = self.limits
        flow = _flow_of(request)
        if flow.importance is not limits.marginal:
            return limits.base_threshold
        fraction = self.classes[flow.importance].of(flow.caller).shed_fraction
        if fraction <= 0.0 or not request.is_limited or limits.may_wait(flow):
            return limits.base_threshold
        return max(limits.base_threshold, rank_of_cutoff(flow.importance + fraction))

    def step(self, now: float, marginal: MarginalClass | None) -> None:
        """Update demands and thresholds, if a step is due.

        Parameters
        ----------
        marginal
            The class that fits into the capacity only in part; None if all requests fit.
        """
        if now - self._stepped_at < MIN_STEP_SECONDS:
            return
        self._stepped_at = now
        for demands in self.classes:
            demands.step(now)
        self.limits.update(marginal, self.classes, now)

    def excess_of(self, rank: int, caller: str) -> str:
        """Return a caller, its demand and its share, if it is above it; empty otherwise."""
        flow = Flow(importance_of(rank), caller)
        demands = self.classes[flow.importance]
        estimate = demands.of(caller)
        if flow.importance is not self.limits.marginal or estimate.shed_fraction <= 0.0:
            return ""
        share = self.limits.share_of(flow, estimate.demand)
        name = f"{EXCESS_PREFIX}{caller!r}"
        if caller not in demands.tracked:
            return f"{name} is counted with others, the share of each is {share:.2f} slots"
        return f"{name} demands {estimate.demand:.2f} slots, its share is {share:.2f}"

    def display(self, limit: int = MAX_REPORTED_CALLERS) -> list[CallerShare]:
        """Return the shares of the callers with the highest demand, at most ``limit``."""
        found = [
            self._share_of(Flow(importance, caller), estimate)
            for importance, demands in zip(Importance, self.classes, strict=True)
            for caller, estimate in demands.tracked.items()
        ]
        found.sort(key=lambda share: -share.demand_slots)
        return found[:limit]

    def _share_of(self, flow: Flow, estimate: CallerEstimate) -> CallerShare:
        demands = self.classes[flow.importance]
        return CallerShare(
            caller=flow.caller,
            importance=flow.importance,
            weight=self._weight_of(flow.caller),
            demand_slots=estimate.demand,
            share_slots=self.limits.share_of(flow, estimate.demand),
            used_slots=estimate.rate_of(estimate.started) * demands.seconds_of(estimate),
            refused_per_second=estimate.rate_of(estimate.refused),
        )

    def _weight_of(self, caller: str) -> float:
        return self.weights.get(caller, 1.0)

    def _cost(self, flow: Flow) -> float:
        """Return the slot seconds of one request, divided by the weight of its caller."""
        demands = self.classes[flow.importance]
        seconds = demands.seconds_of(demands.of(flow.caller)) or UNKNOWN_COST_SECONDS
        return seconds / self._weight_of(flow.caller)


def _flow_of(request: QueuedRequest) -> Flow:
    return Flow(importance_of(request.admission_rank), request.caller)
