"""Which endpoint a call goes to.

Two endpoints are drawn at random and the one with the lower expected wait is taken (Mitzenmacher,
*The Power of Two Choices in Randomized Load Balancing*, 2001), first within the caller's zone,
then its region, then anywhere. An endpoint that is leaving, ejected, silent or that would refuse
the request's rank is not drawn.
"""

import random
from collections.abc import Collection, Iterable

from finchshed.admission.load_report import LoadReport
from finchshed.admission.paths import NO_THRESHOLD, PathThreshold
from finchshed.admission.rank import RANKS, admitted_share, rank_of
from finchshed.common.backoff import Backoff
from finchshed.common.context import CallContext
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.common.results import CallResult
from finchshed.configuration.resources import Endpoint
from finchshed.retry.policy import retry_after
from finchshed.routing.endpoint import EndpointView, LeavingSign
from finchshed.routing.pool import DEFAULT_SUBSET_SIZE, TIERS, ServicePool

EJECT_AFTER_FAILURES = 5
"""Failures in a row after which an endpoint is ejected."""

EJECTION_SECONDS = 1.0
"""First ejection; it doubles with each further one."""

EJECTION_MAX_SECONDS = 30.0
"""Longest ejection."""

EJECTION_BACKOFF = Backoff(EJECTION_SECONDS, EJECTION_MAX_SECONDS)

EJECTED_SHARE_MAX = 0.34
"""Largest share of a service's endpoints that may be ejected at a time."""

LINK_RETRY_SECONDS = 0.5
"""An endpoint whose link broke is left alone for this long unless it comes up before."""

LINK_RETRY_MAX_SECONDS = 4.0
"""Longest time an endpoint is left alone; it doubles each time the link can't be opened."""

LINK_BACKOFF = Backoff(LINK_RETRY_SECONDS, LINK_RETRY_MAX_SECONDS)


GOOD_SHARE = 0.4
"""Part of a call's target latency that a near endpoint may be expected to take."""

FURTHER_SHARE = 0.8
"""One that is further is taken if it is expected to take less than this share of the time."""


class RoutingTable:
    """Endpoints of all services as one caller's daemon sees them.

    Parameters
    ----------
    zone, region
        Where the daemon runs.
    rng
        Source of the random choices.
    owner
        Identity of the daemon; daemons of different identities use different subsets.
    subset_size
        Endpoints of one service in each of zone, region and elsewhere that are used.
    """

    def __init__(
        self,
        zone: str,
        region: str,
        rng: random.Random,
        *,
        owner: str = "",
        subset_size: int = DEFAULT_SUBSET_SIZE,
    ) -> None:
        self._owner = owner
        self._subset_size = subset_size
        self._zone = zone
        self._region = region
        self._rng = rng
        self._views: dict[str, EndpointView] = {}
        self._pools: dict[str, ServicePool] = {}
        self._loaded = False

    def replace(self, endpoints: Iterable[Endpoint], now: float = 0.0) -> None:
        """Take the endpoints of a configuration in place of those held."""
        gone = set(self._views)
        for endpoint in endpoints:
            gone.discard(endpoint.name)
            self._declare(endpoint, now)
        for name in gone:
            self._pools[self._views.pop(name).endpoint.service].remove(name)
        self._loaded = True

    def view(self, name: str) -> EndpointView | None:
        """Return what is known of an endpoint."""
        return self._views.get(name)

    def choose(
        self,
        service: str,
        context: CallContext,
        excluded: Collection[str],
        now: float,
        route: str = "",
        *,
        target_seconds: float = 0.0,
    ) -> Endpoint | Refused:
        """Choose an endpoint for a call, or refuse it.

        Parameters
        ----------
        excluded
            Names of endpoints already tried.
        route
            Route of the service that the call falls under.
        target_seconds
            Latency the call is meant to be answered in; 0: none. A near endpoint that is expected
            to take too much of it, or that fails, gives way to a better one of the region.
        """
        pool = self._pools.get(service)
        if pool is None:
            return Refused(RefusalReason.NO_BACKEND, retry_after(1.0, self._rng))
        pool.note_importance(context.importance)
        # What was admitted as a whole waits, and is not shed on the way.
        rank = RANKS if context.is_admitted else rank_of(context)
        spare: EndpointView | None = None
        shed = False
        for tier in range(TIERS):
            drawn = pool.draw(tier, rank, route, excluded, now)
            shed = shed or drawn.shed
            if drawn.view is None:
                continue
            if not drawn.view.is_full(now):
                near = drawn.view
                if tier == 0 and not _is_good(near, pool.mean_latency, target_seconds, now):
                    further = pool.draw(1, rank, route, excluded, now).view
                    return _better(near, further, pool.mean_latency, now).endpoint
                return near.endpoint
            spare = spare or drawn.view
        if spare is not None:
            return spare.endpoint
        reason = RefusalReason.OVERLOAD if shed else RefusalReason.NO_BACKEND
        return Refused(reason, retry_after(1.0, self._rng))

    def choose_pinned(self, name: str, excluded: Collection[str], now: float) -> Endpoint | Refused:
        """Return the endpoint a session is pinned to; one that is leaving keeps its sessions."""
        view = self._views.get(name)
        if view is None or name in excluded or now < view.link_down_until:
            return Refused(RefusalReason.NO_BACKEND, retry_after(0.0, self._rng))
        return view.endpoint

    def choose_designated(self, service: str, signature: str, now: float) -> Endpoint | Refused:
        """Return the endpoint designated for a suspect, or refuse it where there is none."""
        pool = self._pools.get(service)
        view = None if pool is None else pool.designated(signature, now)
        if view is None:
            return Refused(RefusalReason.NO_BACKEND, retry_after(1.0, self._rng))
        return view.endpoint

    def is_usable(self, name: str, service: str, now: float) -> bool:
        """Return whether ``name`` is a declared endpoint of ``service`` whose link isn't down."""
        view = self._views.get(name)
        return view is not None and view.endpoint.service == service and now >= view.link_down_until

    def floor(self, service: str, route: str, now: float) -> PathThreshold:
        """Return the lowest threshold that calls to a route of a service meet anywhere."""
        pool = self._pools.get(service)
        return NO_THRESHOLD if pool is None else pool.floor(route, now)

    def grounds_of(self, name: str, now: float) -> tuple[float, int]:
        """Return the age of an endpoint's report (negative: none) and this daemon's calls there."""
        view = self._views.get(name)
        return (-1.0, 0) if view is None else (view.report_age(now), view.in_flight)

    def admitted_share(self, name: str, context: CallContext, route: str, now: float) -> float:
        """Return the share of a request's class that an endpoint admits with it."""
        view = self._views.get(name)
        if view is None or context.is_admitted:
            return 1.0
        return admitted_share(context.importance, view.floor(route, now).value)

    def on_sent(self, name: str, now: float) -> None:
        """Count an attempt sent."""
        view = self._views.get(name)
        if view is None:
            return
        view.in_flight += 1
        if view.link_failures:
            # One call finds out whether the link can be opened; the others go elsewhere.
            self._hold_back(view, now)

    def on_reply(
        self, name: str, load: LoadReport | None, result: CallResult, latency: float, now: float
    ) -> None:
        """Take the end of an attempt; ``load`` is None if no answer came."""
        view = self._views.get(name)
        if view is None:
            return
        view.in_flight = max(0, view.in_flight - 1)
        if load is not None:
            self._take_report(view, load, now)
        pool = self._pools[view.endpoint.service]
        pool.on_result(result, latency)
        view.on_result(result, latency, pool.mean_latency, now)
        if view.consecutive_failures >= EJECT_AFTER_FAILURES:
            self._eject(view, now)

    def on_report(self, name: str, load: LoadReport, now: float) -> None:
        """Take a report that came with a heartbeat."""
        view = self._views.get(name)
        if view is not None:
            self._take_report(view, load, now)

    def on_link_down(self, name: str, now: float) -> None:
        """Leave an endpoint alone whose link broke or that is silent."""
        view = self._views.get(name)
        if view is None:
            return
        # A process that drained is gone with its link; what comes up there next speaks for itself.
        view.set_sign(LeavingSign.DRAINING, False)
        self._hold_back(view, now)
        view.link_failures += 1

    def on_link_up(self, name: str, incarnation: str, now: float) -> None:
        """Take a link that came up to the daemon of this incarnation."""
        view = self._views.get(name)
        if view is None:
            return
        if view.incarnation and view.incarnation != incarnation:
            view = self._put(EndpointView(view.endpoint, now), now)
        view.incarnation = incarnation
        view.link_failures = 0
        view.link_down_until = 0.0
        self._refresh(view, now)

    def mark_draining(self, name: str, now: float) -> None:
        """Send no new work to an endpoint that says it is leaving."""
        self.mark_leaving(name, LeavingSign.DRAINING, True, now)

    def mark_leaving(self, name: str, sign: LeavingSign, is_leaving: bool, now: float) -> None:
        """Take what one source says of an endpoint; new work goes to it if none says it leaves."""
        view = self._views.get(name)
        if view is not None:
            view.set_sign(sign, is_leaving)
            self._refresh(view, now)

    def _declare(self, endpoint: Endpoint, now: float) -> None:
        held = self._views.get(endpoint.name)
        if held is not None and held.endpoint is endpoint:
            return
        if held is None:
            self._put(EndpointView(endpoint, now if self._loaded else None), now)
        elif held.endpoint.address != endpoint.address or _place(held.endpoint) != _place(endpoint):
            self._pools[held.endpoint.service].remove(endpoint.name)
            self._put(EndpointView(endpoint, now), now)
        elif held.endpoint != endpoint:
            held.declare(endpoint)
            self._refresh(held, now)

    def _put(self, view: EndpointView, now: float) -> EndpointView:
        endpoint = view.endpoint
        pool = self._pools.get(endpoint.service)
        if pool is None:
            pool = self._pools[endpoint.service] = ServicePool(
                self._rng, self._owner, self._subset_size
            )
        pool.put(view, self._tier(endpoint), now)
        self._views[endpoint.name] = view
        return view

    def _tier(self, endpoint: Endpoint) -> int:
        if endpoint.zone == self._zone:
            return 0
        return 1 if endpoint.region == self._region else 2

    def _refresh(self, view: EndpointView, now: float) -> None:
        self._pools[view.endpoint.service].refresh(view, now)

    def _take_report(self, view: EndpointView, load: LoadReport, now: float) -> None:
        leaving = view.leaving
        view.on_report(load, now)
        if view.leaving != leaving:
            self._refresh(view, now)

    def _hold_back(self, view: EndpointView, now: float) -> None:
        view.link_down_until = now + LINK_BACKOFF.bound(view.link_failures)
        self._refresh(view, now)

    def _eject(self, view: EndpointView, now: float) -> None:
        view.consecutive_failures = 0
        pool = self._pools[view.endpoint.service]
        allowed = max(1, int(len(pool) * EJECTED_SHARE_MAX)) if len(pool) > 1 else 0
        if pool.ejected(now) >= allowed:
            return
        duration = EJECTION_BACKOFF.bound(view.ejections)
        view.ejections += 1
        view.ejected_until = now + duration
        pool.refresh(view, now)


def _is_good(view: EndpointView, usual: float, target_seconds: float, now: float) -> bool:
    """Return whether an endpoint is taken for being near, whatever others offer."""
    if target_seconds <= 0.0:
        return True
    if view.is_failing(now):
        return False
    return view.expected_seconds(usual, now) <= GOOD_SHARE * target_seconds


def _better(
    near: EndpointView, further: EndpointView | None, usual: float, now: float
) -> EndpointView:
    """Return the one with the shorter expected answer; the near one unless it is clearly worse."""
    if further is None or further.is_full(now):
        return near
    expected = further.expected_seconds(usual, now)
    is_worse = expected < FURTHER_SHARE * near.expected_seconds(usual, now)
    return further if is_worse else near


def _place(endpoint: Endpoint) -> tuple[str, str, str]:
    return endpoint.service, endpoint.zone, endpoint.region
