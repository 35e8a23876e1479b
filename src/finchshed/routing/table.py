"""The endpoints of all services as one caller's daemon sees them, and which of them a call goes to.

Owns what is held of each endpoint: signs that it drains, the state of its link, ejections, its
latest load report. Inputs: the configuration and registrations, load reports, results of attempts
(latency in seconds), links that come up or break. :mod:`finchshed.routing.placement` chooses among
the endpoints of a service. Reasons given: ``no_backend``, and ``overload`` where every endpoint
drawn would refuse the request's rank.
"""

import random
from collections.abc import Collection, Iterable

from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_thresholds import NO_THRESHOLD, PathThreshold
from finchshed.admission.rank import RANKS, admitted_fraction, rank_of
from finchshed.common.context import CallContext
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.common.results import CallResult
from finchshed.configuration.resources import Endpoint
from finchshed.retry.policy import retry_after
from finchshed.routing.ejection import eject_if_failing
from finchshed.routing.endpoint import DrainSource, EndpointView
from finchshed.routing.link_hold import hold_back, release
from finchshed.routing.placement import Wanted, place
from finchshed.routing.pool import DEFAULT_SUBSET_SIZE, ServicePool

NO_ENDPOINT_OVERLOAD = 1.0
"""Overload that the time to come back is computed with where nothing takes a call: 0.5 s in the
mean. Chosen, not measured."""


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
        """Hold the endpoints of a configuration in place of those held."""
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
            return self._refused(RefusalReason.NO_BACKEND)
        pool.note_importance(context.importance)
        # What was admitted as a whole waits, and is not shed on the way.
        rank = RANKS if context.is_admitted else rank_of(context)
        placed = place(pool, Wanted(rank, route, excluded, target_seconds), now)
        if placed.view is not None:
            return placed.view.endpoint
        has_shed = placed.has_shed
        return self._refused(RefusalReason.OVERLOAD if has_shed else RefusalReason.NO_BACKEND)

    def choose_pinned(self, name: str, excluded: Collection[str], now: float) -> Endpoint | Refused:
        """Return the endpoint a session is pinned to; one that drains keeps its sessions."""
        view = self._views.get(name)
        if view is None or name in excluded or now < view.link_down_until:
            return Refused(RefusalReason.NO_BACKEND, retry_after(0.0, self._rng))
        return view.endpoint

    def choose_designated(self, service: str, signature: str, now: float) -> Endpoint | Refused:
        """Return the endpoint designated for a suspect, or refuse it where there is none."""
        pool = self._pools.get(service)
        view = None if pool is None else pool.designated(signature, now)
        if view is None:
            return self._refused(RefusalReason.NO_BACKEND)
        return view.endpoint

    def is_usable(self, name: str, service: str, now: float) -> bool:
        """Return whether ``name`` is a declared endpoint of ``service`` whose link isn't down."""
        view = self._views.get(name)
        return view is not None and view.endpoint.service == service and now >= view.link_down_until

    def path_threshold(self, service: str, route: str, now: float) -> PathThreshold:
        """Return the threshold that calls to a route of a service meet, over its endpoints."""
        pool = self._pools.get(service)
        return NO_THRESHOLD if pool is None else pool.path_threshold(route, now)

    def report_age_and_in_flight(self, name: str, now: float) -> tuple[float, int]:
        """Return the seconds since an endpoint's report (negative: none), and our calls there."""
        view = self._views.get(name)
        return (-1.0, 0) if view is None else (view.report_age(now), view.in_flight)

    def admitted_fraction(self, name: str, context: CallContext, route: str, now: float) -> float:
        """Return the fraction of a request's class that an endpoint admits with it."""
        view = self._views.get(name)
        if view is None or context.is_admitted:
            return 1.0
        return admitted_fraction(context.importance, view.path_threshold(route, now).value)

    def on_sent(self, name: str, now: float) -> None:
        """Count an attempt sent."""
        view = self._views.get(name)
        if view is None:
            return
        view.in_flight += 1
        if view.link_failures:
            # One call finds out whether the link can be opened; the others go elsewhere.
            hold_back(view, self._pool_of(view), now)

    def on_reply(
        self, name: str, load: LoadReport | None, result: CallResult, latency: float, now: float
    ) -> None:
        """Count the end of an attempt; ``load`` is None if no answer came."""
        view = self._views.get(name)
        if view is None:
            return
        view.in_flight = max(0, view.in_flight - 1)
        if load is not None:
            self._hold_report(view, load, now)
        pool = self._pool_of(view)
        pool.on_result(result, latency)
        view.on_result(result, latency, pool.mean_latency, now)
        eject_if_failing(view, pool, now)

    def on_report(self, name: str, load: LoadReport, now: float) -> None:
        """Hold a report that came with a heartbeat."""
        view = self._views.get(name)
        if view is not None:
            self._hold_report(view, load, now)

    def on_link_down(self, name: str, now: float) -> None:
        """Leave an endpoint alone whose link broke or that is silent."""
        view = self._views.get(name)
        if view is None:
            return
        # A process that drained is gone with its link; what comes up there next speaks for itself.
        view.set_drain_source(DrainSource.REPORTED, False)
        hold_back(view, self._pool_of(view), now)
        view.link_failures += 1

    def on_link_up(self, name: str, incarnation: str, now: float) -> None:
        """Use a link that came up to the daemon of this incarnation."""
        view = self._views.get(name)
        if view is None:
            return
        if view.incarnation and view.incarnation != incarnation:
            view = self._put(EndpointView(view.endpoint, now), now)
        view.incarnation = incarnation
        release(view, self._pool_of(view), now)

    def mark_draining(self, name: str, now: float) -> None:
        """Send no new work to an endpoint that says it drains."""
        self.set_drain_source(name, DrainSource.REPORTED, True, now)

    def set_drain_source(self, name: str, sign: DrainSource, is_set: bool, now: float) -> None:
        """Set or clear what one source says of an endpoint; new work goes to it if none is set."""
        view = self._views.get(name)
        if view is not None:
            view.set_drain_source(sign, is_set)
            self._refresh(view, now)

    def _declare(self, endpoint: Endpoint, now: float) -> None:
        held = self._views.get(endpoint.name)
        if held is not None and held.endpoint is endpoint:
            return
        if held is None:
            self._put(EndpointView(endpoint, now if self._loaded else None), now)
        elif held.endpoint.address != endpoint.address or _location_of(
            held.endpoint
        ) != _location_of(endpoint):
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

    def _pool_of(self, view: EndpointView) -> ServicePool:
        return self._pools[view.endpoint.service]

    def _refresh(self, view: EndpointView, now: float) -> None:
        self._pool_of(view).refresh(view, now)

    def _refused(self, reason: RefusalReason) -> Refused:
        return Refused(reason, retry_after(NO_ENDPOINT_OVERLOAD, self._rng))

    def _hold_report(self, view: EndpointView, load: LoadReport, now: float) -> None:
        signs = view.drain_sources
        view.on_report(load, now)
        if view.drain_sources != signs:
            self._refresh(view, now)


def _location_of(endpoint: Endpoint) -> tuple[str, str, str]:
    return endpoint.service, endpoint.zone, endpoint.region
