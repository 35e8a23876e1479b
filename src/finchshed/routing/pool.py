"""The endpoints of one service as one caller's daemon sees them, ready to be drawn from.

Those that take work stand in one list for each tier of distance, so that a draw costs the same
however many there are. The others are parked until their time is over. Owns which endpoints are
open, which of them are in the caller's subset, and the service's mean latency (seconds); relies on
the table to call :meth:`ServicePool.refresh` after each change of an endpoint's availability.
"""

import heapq
import itertools
import random
from collections.abc import Collection, Iterator

import msgspec
import xxhash

from finchshed.admission.path_thresholds import (
    DECAY_START_MILLISECONDS,
    NO_THRESHOLD,
    PathThreshold,
)
from finchshed.admission.rank import cutoff_of, rank_of_cutoff
from finchshed.common.importance import Importance
from finchshed.common.moving_average import moving_average
from finchshed.common.results import CallResult
from finchshed.routing.endpoint import EndpointView

TIERS = 3
"""Tiers of distance: the caller's zone, its region, anywhere."""

DEFAULT_SUBSET_SIZE = 20
"""Endpoints of a tier that one caller uses, unless none of them can be used. Chosen, not measured;
a setting (``subset_size``)."""

MAX_DRAWS = 8
"""Endpoints of a tier that are looked at for one call. Chosen, not measured; with it a choice takes
3.3 to 5.3 us from 10 to 1,100 endpoints (docs/design/routing.md)."""

CLEARLY_BETTER_FRACTION = 0.9
"""The second endpoint drawn is taken if its cost is below this fraction of the first one's: costs
are estimates, and always taking the lower one sends all calls one way at low load. Chosen, not
measured."""

SERVICE_LATENCY_WEIGHT = 0.02
"""Weight of one answer in the service's mean latency: about the last 50. Chosen, not measured."""

REPORTED_FRACTION_LEAST = 1 / 3
"""Fraction of the open endpoints that must have reported lately for a path threshold to be given.
Chosen, not measured."""


class Drawn(msgspec.Struct, frozen=True, gc=False):
    """The endpoint drawn from a tier, if any, and whether one was passed over as overloaded."""

    view: EndpointView | None
    has_shed: bool


class ServicePool:
    """Endpoints of one service.

    Parameters
    ----------
    rng
        Source of the random choices.
    owner
        Identity of the caller; it settles which endpoints are in its subset.
    subset_size
        Endpoints of a tier that the caller uses, at least 2. The others are used only while none of
        those can be, so the links of a caller stay bounded however many endpoints there are.
    """

    def __init__(
        self, rng: random.Random, owner: str = "", subset_size: int = DEFAULT_SUBSET_SIZE
    ) -> None:
        self._rng = rng
        self._owner = owner
        self._subset_size = subset_size
        self._members: tuple[dict[str, int], ...] = tuple({} for _ in range(TIERS))
        self._subsets: list[set[str]] = [set() for _ in range(TIERS)]
        self._lowest = [-1] * TIERS
        self._tiers: tuple[list[EndpointView], ...] = tuple([] for _ in range(TIERS))
        self._others: tuple[list[EndpointView], ...] = tuple([] for _ in range(TIERS))
        self._tier_of: dict[str, int] = {}
        self._views: dict[str, EndpointView] = {}
        self._parked: list[tuple[float, int, EndpointView]] = []
        self._order = itertools.count()
        self._least_importance = max(Importance)
        self.mean_latency = 0.0

    def __len__(self) -> int:
        """Return the number of endpoints."""
        return len(self._views)

    def put(self, view: EndpointView, tier: int, now: float) -> None:
        """Add an endpoint, in place of one of the same name."""
        name = view.endpoint.name
        self.remove(name)
        self._views[name] = view
        self._tier_of[name] = tier
        self.refresh(view, now)

    def remove(self, name: str) -> None:
        """Forget an endpoint."""
        view = self._views.pop(name, None)
        if view is not None:
            self._close(view)
            tier = self._tier_of.pop(name)
            self._drop_member(name, tier)

    def refresh(self, view: EndpointView, now: float) -> None:
        """Sort an endpoint anew after its availability changed."""
        self._update_membership(view)
        if view.is_available(now):
            self._open(view)
            return
        self._close(view)
        if not view.is_draining:
            heapq.heappush(self._parked, (view.available_at(), next(self._order), view))

    def designated(self, signature: str, now: float) -> EndpointView | None:
        """Return the endpoint that alone may run a suspect, the same for every caller.

        By rendezvous hashing, over those that don't drain and whose link isn't down: what each
        caller finds out for itself, as who is ejected, doesn't move a suspect elsewhere.
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

    def note_importance(self, importance: Importance) -> None:
        """Note that requests of this class are sent to the service."""
        self._least_importance = min(self._least_importance, importance)

    def draw(
        self, tier: int, rank: int, route: str, excluded: Collection[str], now: float
    ) -> Drawn:
        """Draw two endpoints of a tier that take a request, and return the better one.

        Two random choices: Mitzenmacher, *The Power of Two Choices in Randomized Load Balancing*,
        2001.
        """
        self._unpark(now)
        drawn = self._draw_from(self._tiers[tier], rank, route, excluded, now)
        if drawn.view is not None or drawn.has_shed:
            return drawn
        return self._draw_from(self._others[tier], rank, route, excluded, now)

    def _draw_from(
        self,
        views: list[EndpointView],
        rank: int,
        route: str,
        excluded: Collection[str],
        now: float,
    ) -> Drawn:
        has_shed = False
        for first in self._sample(views):
            if first.endpoint.name in excluded:
                continue
            if not first.admits(rank, route, now):
                has_shed = True
                continue
            # With replacement, so that none of a few endpoints is left out for good.
            second = views[int(self._rng.random() * len(views))]
            if second.endpoint.name in excluded or not second.admits(rank, route, now):
                return Drawn(first, has_shed)
            usual = self.mean_latency
            is_better = second.cost(usual, now) < CLEARLY_BETTER_FRACTION * first.cost(usual, now)
            return Drawn(second if is_better else first, has_shed)
        return Drawn(None, has_shed)

    def path_threshold(self, route: str, now: float) -> PathThreshold:
        """Return the threshold that requests of a route meet, over the endpoints that reported.

        It cuts the classes where the endpoints' thresholds do on the mean: a call goes to any of
        them, and what one can't take another may. An endpoint without a threshold takes all that is
        sent here, which begins at the least important class seen, and as many calls as the others.
        """
        least = float(self._least_importance)
        cuts = 0.0
        ages = 0
        cutting = 0
        reported = 0
        views = 0
        for view in self._open_views():
            views += 1
            if not view.has_recent_report(now):
                continue
            reported += 1
            threshold = view.path_threshold(route, now)
            cut = cutoff_of(threshold.value)
            if cut > least:
                cutting += 1
                ages += threshold.age_ms
            cuts += max(cut, least)
        if not cutting or reported < views * REPORTED_FRACTION_LEAST:
            return NO_THRESHOLD
        # What has faded here already must not fade once more for its age on the way.
        age_ms = min(ages // cutting, DECAY_START_MILLISECONDS)
        return PathThreshold(rank_of_cutoff(cuts / reported), age_ms)

    def ejected(self, now: float) -> int:
        """Return the number of endpoints ejected at present."""
        return sum(1 for view in self._views.values() if view.ejected_until > now)

    def on_result(self, result: CallResult, latency: float) -> None:
        """Count the end of an attempt at any endpoint; ``latency`` in seconds."""
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

    def _open_views(self) -> Iterator[EndpointView]:
        return itertools.chain.from_iterable(self._tiers)

    def _unpark(self, now: float) -> None:
        parked = self._parked
        while parked and parked[0][0] <= now:
            view = heapq.heappop(parked)[2]
            if self._views.get(view.endpoint.name) is view and view.is_available(now):
                self._open(view)

    def _open(self, view: EndpointView) -> None:
        if view.place >= 0:
            return
        name = view.endpoint.name
        tier = self._tier_of[name]
        group = (self._tiers if name in self._subsets[tier] else self._others)[tier]
        view.group = group
        view.place = len(group)
        group.append(view)

    def _close(self, view: EndpointView) -> None:
        if view.place < 0 or view.group is None:
            return
        last = view.group.pop()
        if last is not view:
            view.group[view.place] = last
            last.place = view.place
        view.place = -1
        view.group = None

    def _update_membership(self, view: EndpointView) -> None:
        """Let another endpoint take the place in the subset of one that drains, and back."""
        name = view.endpoint.name
        tier = self._tier_of[name]
        if view.is_draining:
            self._drop_member(name, tier)
        elif name not in self._members[tier]:
            score = self._score(name)
            self._members[tier][name] = score
            if score > self._lowest[tier]:
                self._choose_subset(tier)

    def _drop_member(self, name: str, tier: int) -> None:
        if self._members[tier].pop(name, None) is not None and name in self._subsets[tier]:
            self._choose_subset(tier)

    def _choose_subset(self, tier: int) -> None:
        """Choose the members of the highest scores (rendezvous hashing, Thaler, Ravishankar, 1998).

        A member that comes or goes changes at most one other's place.
        """
        members = self._members[tier]
        chosen = heapq.nlargest(self._subset_size, members, key=members.__getitem__)
        is_whole = len(chosen) < self._subset_size
        self._lowest[tier] = -1 if is_whole else members[chosen[-1]]
        before = self._subsets[tier]
        self._subsets[tier] = set(chosen)
        for name in before.symmetric_difference(chosen):
            view = self._views.get(name)
            if view is not None and view.place >= 0:
                self._close(view)
                self._open(view)

    def _score(self, name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{self._owner}/{name}".encode())
