"""Endpoints of one service, as seen by one daemon that calls it.

Available endpoints are kept in one list per distance tier, so that the cost of a choice does not
depend on their number. Unavailable ones are kept aside until they may be used again. The routing
table calls :meth:`ServicePool.refresh` after each change of an endpoint's availability.
"""

import heapq
import itertools
import random
from collections.abc import Collection, Iterator

import msgspec
import xxhash

from finchshed.admission.caller_thresholds import NO_CALLER_THRESHOLDS, CallerThresholds
from finchshed.admission.path_thresholds import (
    DECAY_START_MILLISECONDS,
    NO_THRESHOLD,
    PathThreshold,
)
from finchshed.admission.rank import cutoff_of, rank_of_cutoff
from finchshed.common.importance import Importance
from finchshed.common.moving_average import moving_average
from finchshed.common.results import CallResult
from finchshed.routing.avoided_endpoints import AvoidedEndpoints
from finchshed.routing.caller_thresholds import (
    CallerLimits,
    describe_excess,
    mean_caller_thresholds,
)
from finchshed.routing.comparison import better_of, other_than
from finchshed.routing.endpoint import EndpointView

TIERS = 3
"""Number of distance tiers: the caller's zone, its region, anywhere."""

DEFAULT_SUBSET_SIZE = 20
"""Number of endpoints per tier that one caller uses; configurable as ``subset_size``."""

MAX_DRAWS = 8
"""Maximum number of endpoints of a tier that are examined for one call."""

SERVICE_LATENCY_WEIGHT = 0.02
"""Weight of one answer in the service's mean latency."""

MIN_REPORTED_FRACTION = 1 / 3
"""Fraction of the available endpoints that must have reported recently for a path threshold."""


class DrawResult(msgspec.Struct, frozen=True, gc=False):
    """The endpoint drawn from a tier, if any, and why others were skipped."""

    view: EndpointView | None
    skipped_overloaded: bool
    skipped_rate_limited: bool


class ServicePool:
    """Endpoints of one service.

    Parameters
    ----------
    rng
        Source of the random choices.
    owner
        Identity of the calling daemon; it determines which endpoints are in its subset.
    subset_size
        Number of endpoints per tier in the subset, at least 2. Others are used only while none in
        the subset is available, which bounds the number of links per caller.
    """

    def __init__(
        self, rng: random.Random, owner: str = "", subset_size: int = DEFAULT_SUBSET_SIZE
    ) -> None:
        self._rng = rng
        self._owner = owner
        self._subset_size = subset_size
        self._scores: tuple[dict[str, int], ...] = tuple({} for _ in range(TIERS))
        self._subsets: list[set[str]] = [set() for _ in range(TIERS)]
        self._lowest_scores = [-1] * TIERS
        self._tiers: tuple[list[EndpointView], ...] = tuple([] for _ in range(TIERS))
        self._outside_subset: tuple[list[EndpointView], ...] = tuple([] for _ in range(TIERS))
        self._tier_of: dict[str, int] = {}
        self._views: dict[str, EndpointView] = {}
        self._unavailable: list[tuple[float, int, EndpointView]] = []
        self._order = itertools.count()
        self._lowest_importance = max(Importance)
        self.caller_limits = CallerLimits()
        self.mean_latency = 0.0
        self.avoided_endpoints = AvoidedEndpoints()
        self.reports_slowdown = False

    def __len__(self) -> int:
        """Return the number of endpoints."""
        return len(self._views)

    def put(self, view: EndpointView, tier: int, now: float) -> None:
        """Add an endpoint, replacing one of the same name."""
        name = view.endpoint.name
        self.remove(name)
        self._views[name] = view
        self._tier_of[name] = tier
        self.refresh(view, now)

    def remove(self, name: str) -> None:
        """Remove an endpoint."""
        view = self._views.pop(name, None)
        if view is not None:
            self._remove_from_list(view)
            tier = self._tier_of.pop(name)
            self._drop_from_subset(name, tier)

    def refresh(self, view: EndpointView, now: float) -> None:
        """Update the lists after an endpoint's availability changed."""
        self._update_subset(view)
        if view.is_available(now):
            self._add_to_list(view)
            return
        self._remove_from_list(view)
        if not view.is_draining:
            heapq.heappush(self._unavailable, (view.available_at(), next(self._order), view))

    def designated_endpoint(self, signature: str, now: float) -> EndpointView | None:
        """Return the only endpoint that may run a suspect request, the same for every caller.

        Uses rendezvous hashing over the endpoints that aren't draining and whose link is up.
        Ejections are ignored, because they are local to each caller.
        """
        usable = (
            view
            for view in self._views.values()
            if not view.is_draining and now >= view.link_down_until
        )
        return max(
            usable,
            key=lambda view: xxhash.xxh64_intdigest(f"{signature}\0{view.endpoint.name}".encode()),
            default=None,
        )

    def record_importance(self, importance: Importance) -> None:
        """Record that requests of this class are sent to the service."""
        self._lowest_importance = min(self._lowest_importance, importance)

    def draw(
        self,
        tier: int,
        rank: int,
        route: str,
        excluded: Collection[str],
        now: float,
        *,
        caller: str | None = None,
    ) -> DrawResult:
        """Draw two endpoints of a tier that admit a request, and return the one of lower cost.

        Power of two choices: Mitzenmacher, *The Power of Two Choices in Randomized Load Balancing*,
        2001.
        """
        self._restore_available(now)
        drawn = self._draw_from(self._tiers[tier], rank, route, excluded, now, caller=caller)
        if drawn.view is not None or drawn.skipped_overloaded:
            return drawn
        outside = self._outside_subset[tier]
        other = self._draw_from(outside, rank, route, excluded, now, caller=caller)
        is_rate_limited = drawn.skipped_rate_limited or other.skipped_rate_limited
        return DrawResult(other.view, other.skipped_overloaded, is_rate_limited)

    def _draw_from(
        self,
        views: list[EndpointView],
        rank: int,
        route: str,
        excluded: Collection[str],
        now: float,
        *,
        caller: str | None,
    ) -> DrawResult:
        skipped_overloaded = False
        skipped_rate_limited = False
        for first in self._sample(views):
            if first.endpoint.name in excluded:
                continue
            if not first.admits(rank, route, now, caller):
                skipped_overloaded = True
                continue
            if not first.has_turn(rank, now):
                skipped_rate_limited = True
                continue
            # Drawn with replacement, so that the costlier of two endpoints is chosen too.
            second = views[int(self._rng.random() * len(views))]
            if second is first and first.is_slow(now):
                second = other_than(first, views, self._rng)
            if second.endpoint.name in excluded or not second.takes(rank, route, now, caller):
                return DrawResult(first, skipped_overloaded, skipped_rate_limited)
            chosen = better_of(first, second, self.mean_latency, now, self.avoided_endpoints)
            return DrawResult(chosen, skipped_overloaded, skipped_rate_limited)
        return DrawResult(None, skipped_overloaded, skipped_rate_limited)

    def path_threshold(self, route: str, now: float) -> PathThreshold:
        """Return the threshold for requests of a route, averaged over the endpoints that reported.

        The mean is taken over the cutoffs, because a call may go to any of the endpoints. One
        without a threshold admits everything, so it counts as a cutoff at the least important class
        sent to the service.
        """
        lowest = float(self._lowest_importance)
        cutoff_sum = 0.0
        age_sum = 0
        with_threshold = 0
        reported = 0
        views = 0
        for view in self._available_views():
            views += 1
            if not view.has_recent_report(now):
                continue
            reported += 1
            threshold = view.path_threshold(route, now)
            cutoff = cutoff_of(threshold.value)
            if cutoff > lowest:
                with_threshold += 1
                age_sum += threshold.age_ms
            cutoff_sum += max(cutoff, lowest)
        if not with_threshold or reported < views * MIN_REPORTED_FRACTION:
            return NO_THRESHOLD
        # The mean has already decayed; a higher age would make the receiver decay it again.
        age_ms = min(age_sum // with_threshold, DECAY_START_MILLISECONDS)
        return PathThreshold(rank_of_cutoff(cutoff_sum / reported), age_ms)

    def caller_thresholds(self, route: str, now: float) -> CallerThresholds:
        """Return the thresholds of callers for a route, averaged as :meth:`path_threshold`."""
        if not self.caller_limits.are_reported(now):
            return NO_CALLER_THRESHOLDS
        views = list(self._available_views())
        reported = [view for view in views if view.has_recent_report(now)]
        if len(reported) < len(views) * MIN_REPORTED_FRACTION:
            return NO_CALLER_THRESHOLDS
        return mean_caller_thresholds(reported, route, float(self._lowest_importance), now)

    def excess_of(self, caller: str, importance: Importance, route: str, now: float) -> str:
        """Return a caller and the fraction of it that is admitted, if it exceeds its share."""
        if not self.caller_limits.are_reported(now):
            return ""
        return describe_excess(self._available_views(), caller, importance, route, now)

    def completion(self, route: str, now: float) -> float:
        """Return the fraction of the requests of a route that complete, over the endpoints.

        It is 0 if none of them is available, and 1 if none has reported recently. Those that have
        are the ones that this daemon calls.
        """
        views = list(self._available_views())
        if not views:
            return 0.0
        reported = [view for view in views if view.has_recent_report(now)]
        if not reported:
            return 1.0
        return sum(view.completion(route) for view in reported) / len(reported)

    def own_share(self) -> float:
        """Return the fraction of the requests in progress that this daemon sent; 0 if none are.

        Requests of all daemons take equally long, so it is also its fraction of the admitted ones.
        """
        total = sum(view.reported_in_flight for view in self._views.values())
        return sum(view.in_flight for view in self._views.values()) / total if total else 0.0

    def count_ejected(self, now: float) -> int:
        """Return the number of currently ejected endpoints."""
        return sum(1 for view in self._views.values() if view.ejected_until > now)

    def on_result(self, result: CallResult, latency: float) -> None:
        """Record the result of an attempt at any endpoint; ``latency`` is in seconds."""
        if result is not CallResult.OK:
            return
        if self.mean_latency == 0.0:
            self.mean_latency = latency
        self.mean_latency = moving_average(self.mean_latency, latency, SERVICE_LATENCY_WEIGHT)

    def _sample(self, views: list[EndpointView]) -> Iterator[EndpointView]:
        """Yield up to ``MAX_DRAWS`` different endpoints in random order."""
        count = len(views)
        taken: list[int] = []
        for _ in range(min(count, MAX_DRAWS)):
            index = int(self._rng.random() * count)
            while index in taken:
                index = (index + 1) % count
            taken.append(index)
            yield views[index]

    def _available_views(self) -> Iterator[EndpointView]:
        return itertools.chain.from_iterable(self._tiers)

    def _restore_available(self, now: float) -> None:
        unavailable = self._unavailable
        while unavailable and unavailable[0][0] <= now:
            view = heapq.heappop(unavailable)[2]
            if self._views.get(view.endpoint.name) is view and view.is_available(now):
                self._add_to_list(view)

    def _add_to_list(self, view: EndpointView) -> None:
        if view.pool_index >= 0:
            return
        name = view.endpoint.name
        tier = self._tier_of[name]
        endpoints = (self._tiers if name in self._subsets[tier] else self._outside_subset)[tier]
        view.endpoint_list = endpoints
        view.pool_index = len(endpoints)
        endpoints.append(view)

    def _remove_from_list(self, view: EndpointView) -> None:
        if view.pool_index < 0 or view.endpoint_list is None:
            return
        last = view.endpoint_list.pop()
        if last is not view:
            view.endpoint_list[view.pool_index] = last
            last.pool_index = view.pool_index
        view.pool_index = -1
        view.endpoint_list = None

    def _update_subset(self, view: EndpointView) -> None:
        """Replace a draining endpoint in the subset, and restore one that stopped draining."""
        name = view.endpoint.name
        tier = self._tier_of[name]
        if view.is_draining:
            self._drop_from_subset(name, tier)
        elif name not in self._scores[tier]:
            score = self._score(name)
            self._scores[tier][name] = score
            if score > self._lowest_scores[tier]:
                self._choose_subset(tier)

    def _drop_from_subset(self, name: str, tier: int) -> None:
        if self._scores[tier].pop(name, None) is not None and name in self._subsets[tier]:
            self._choose_subset(tier)

    def _choose_subset(self, tier: int) -> None:
        """Select the endpoints of the highest scores.

        Uses rendezvous hashing (Thaler, Ravishankar, 1998), so that adding or removing an endpoint
        changes at most one other member of the subset.
        """
        scores = self._scores[tier]
        chosen = heapq.nlargest(self._subset_size, scores, key=scores.__getitem__)
        has_room = len(chosen) < self._subset_size
        self._lowest_scores[tier] = -1 if has_room else scores[chosen[-1]]
        before = self._subsets[tier]
        self._subsets[tier] = set(chosen)
        for name in before.symmetric_difference(chosen):
            view = self._views.get(name)
            if view is not None and view.pool_index >= 0:
                self._remove_from_list(view)
                self._add_to_list(view)

    def _score(self, name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{self._owner}/{name}".encode())
