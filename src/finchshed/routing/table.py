"""Routing table of one daemon: the endpoints of all services, and the choice among them.

Updated by the configuration, registrations, load reports, results of attempts, and links that come
up or break. :mod:`finchshed.routing.endpoint_selection` selects among the endpoints of a service.
Refusal reasons: ``no_backend``; ``overload`` if every endpoint examined would refuse the request's
rank; ``rate_limited`` if the rate limits of those examined are used up.
"""

import random
from collections.abc import Collection, Iterable, Iterator

from finchshed.admission.caller_thresholds import NO_CALLER_THRESHOLDS, CallerThresholds
from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_thresholds import NO_THRESHOLD, PathThreshold
from finchshed.admission.rank import RANKS, admitted_fraction, rank_of
from finchshed.common.context import CallContext
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.common.results import CallResult
from finchshed.configuration.resources import Endpoint
from finchshed.directory.registration import Registration
from finchshed.retry.policy import retry_after
from finchshed.routing.avoided_endpoints import AvoidedEndpoints
from finchshed.routing.backend_runs import BackendRuns
from finchshed.routing.ejection import eject_if_failing
from finchshed.routing.endpoint import DrainSource, EndpointView
from finchshed.routing.endpoint_selection import SelectionCriteria, select_endpoint
from finchshed.routing.link_backoff import back_off, reset_backoff
from finchshed.routing.pool import DEFAULT_SUBSET_SIZE, ServicePool

NO_ENDPOINT_OVERLOAD = 1.0
"""Overload used for the retry-after time if no endpoint takes a call; a mean of 0.5 s."""


class RoutingTable:
    """Endpoints of all services, as seen by one calling daemon.

    Parameters
    ----------
    zone, region
        Location of the daemon.
    rng
        Source of the random choices.
    owner
        Identity of the daemon; it determines which endpoints the daemon uses.
    subset_size
        Number of endpoints of a service used in each of zone, region and elsewhere.
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
        self._runs = BackendRuns()
        self._loaded = False

    def replace(self, endpoints: Iterable[Endpoint], now: float = 0.0) -> None:
        """Replace all endpoints by those of a configuration."""
        removed = set(self._views)
        for endpoint in endpoints:
            removed.discard(endpoint.name)
            self._add_or_update(endpoint, now)
        for name in removed:
            self._pools[self._views.pop(name).endpoint.service].remove(name)
        self._loaded = True

    def view(self, name: str) -> EndpointView | None:
        """Return the state of an endpoint."""
        return self._views.get(name)

    def views(self) -> Collection[EndpointView]:
        """Return the state of all endpoints."""
        return self._views.values()

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
            Target latency of the call; 0 if it has none. If the near endpoint may miss it or is
            failing, a faster one of the region is chosen.
        """
        pool = self._pools.get(service)
        if pool is None:
            return self._refused(RefusalReason.NO_BACKEND)
        pool.record_importance(context.importance)
        if not excluded and not context.is_admitted:
            pool.caller_limits.on_request(context.caller, now)
        # Requests of an admitted session or call tree are not shed.
        rank = RANKS if context.is_admitted else rank_of(context)
        caller = pool.caller_limits.limited_caller(context.caller)
        criteria = SelectionCriteria(rank, route, excluded, target_seconds, caller)
        selection = select_endpoint(pool, criteria, now)
        if selection.view is not None:
            return selection.view.endpoint
        if selection.skipped_overloaded:
            detail = ""
            if caller is not None:
                detail = pool.excess_of(caller, context.importance, route, now)
            return self._refused(RefusalReason.OVERLOAD, detail)
        if selection.skipped_rate_limited:
            return self._refused(RefusalReason.RATE_LIMITED)
        return self._refused(RefusalReason.NO_BACKEND)

    def choose_pinned(self, name: str, excluded: Collection[str], now: float) -> Endpoint | Refused:
        """Return the endpoint a session is pinned to; a draining one keeps its sessions."""
        view = self._views.get(name)
        if view is None or name in excluded or now < view.link_down_until:
            return Refused(RefusalReason.NO_BACKEND, retry_after(0.0, self._rng))
        return view.endpoint

    def choose_designated(self, service: str, signature: str, now: float) -> Endpoint | Refused:
        """Return the endpoint designated for a suspect request, or refuse it if there is none."""
        pool = self._pools.get(service)
        view = None if pool is None else pool.designated_endpoint(signature, now)
        if view is None:
            return self._refused(RefusalReason.NO_BACKEND)
        return view.endpoint

    def is_usable(self, name: str, service: str, now: float) -> bool:
        """Return whether ``name`` is an endpoint of ``service`` whose link isn't down."""
        view = self._views.get(name)
        return view is not None and view.endpoint.service == service and now >= view.link_down_until

    def path_threshold(self, service: str, route: str, now: float) -> PathThreshold:
        """Return the threshold for calls to a route of a service, averaged over its endpoints."""
        pool = self._pools.get(service)
        return NO_THRESHOLD if pool is None else pool.path_threshold(route, now)

    def caller_thresholds(self, service: str, route: str, now: float) -> CallerThresholds:
        """Return the thresholds of callers for a route of a service."""
        pool = self._pools.get(service)
        return NO_CALLER_THRESHOLDS if pool is None else pool.caller_thresholds(route, now)

    def path_completion(self, service: str, route: str, now: float) -> float:
        """Return the fraction of the requests of a route that complete; 1 if it is unknown."""
        pool = self._pools.get(service)
        return 1.0 if pool is None else pool.completion(route, now)

    def mean_latency(self, service: str) -> float:
        """Return the mean latency of a service, seconds; 0 if it is unknown."""
        pool = self._pools.get(service)
        return 0.0 if pool is None else pool.mean_latency

    def own_share(self, service: str) -> float:
        """Return the fraction of a service's requests in progress that this daemon sent."""
        pool = self._pools.get(service)
        return 0.0 if pool is None else pool.own_share()

    def report_age_and_in_flight(self, name: str, now: float) -> tuple[float, int]:
        """Return an endpoint's report age (seconds; negative: no report) and calls in flight."""
        view = self._views.get(name)
        return (-1.0, 0) if view is None else (view.report_age(now), view.in_flight)

    def admitted_fraction(self, name: str, context: CallContext, route: str, now: float) -> float:
        """Return the fraction of a request's class that an endpoint currently admits."""
        view = self._views.get(name)
        if view is None or context.is_admitted or context.returning:
            return 1.0
        caller = self._pool_of(view).caller_limits.limited_caller(context.caller)
        threshold = view.threshold_for(caller, route, now)
        return admitted_fraction(context.importance, threshold)

    def rate_limit_of(self, name: str) -> float | None:
        """Return the rate limit that an endpoint's back end names, or None."""
        view = self._views.get(name)
        return None if view is None else view.run.rate_limit

    def on_sent(self, name: str, now: float) -> None:
        """Record that an attempt was sent."""
        view = self._views.get(name)
        if view is None:
            return
        view.in_flight += 1
        view.work.on_sent()
        if view.link_failures:
            # This call probes the link; others use another endpoint meanwhile.
            back_off(view, self._pool_of(view), now)

    def on_reply(
        self, name: str, load: LoadReport | None, result: CallResult, latency: float, now: float
    ) -> None:
        """Record the end of an attempt; ``load`` is None if there was no answer."""
        view = self._views.get(name)
        if view is None:
            return
        view.in_flight = max(0, view.in_flight - 1)
        if load is not None:
            self._store_report(view, load, now)
        latency = view.work.usual_seconds(latency, now)
        pool = self._pool_of(view)
        pool.on_result(result, latency)
        view.on_result(result, latency, pool.mean_latency, now)
        eject_if_failing(view, pool, now)

    def on_report(self, name: str, load: LoadReport, now: float) -> None:
        """Store a report received with a heartbeat."""
        view = self._views.get(name)
        if view is not None:
            self._store_report(view, load, now)

    def on_registration(self, registration: Registration, now: float) -> None:
        """Reset the state of an endpoint whose back end has started again under its name."""
        view = self._views.get(registration.instance)
        if self._runs.on_registration(registration) and view is not None:
            self._put(self._new_view(view.endpoint, now), now)

    def on_link_down(self, name: str, now: float) -> None:
        """Back off from an endpoint whose link broke or timed out."""
        view = self._views.get(name)
        if view is None:
            return
        # The next process at this address is not draining until it reports so itself.
        view.set_drain_source(DrainSource.REPORTED, False)
        back_off(view, self._pool_of(view), now)
        view.link_failures += 1

    def on_link_up(self, name: str, incarnation: str, now: float) -> None:
        """Use an endpoint whose link came up; a new ``incarnation`` resets its state."""
        view = self._views.get(name)
        if view is None:
            return
        if view.incarnation and view.incarnation != incarnation:
            view = self._put(self._new_view(view.endpoint, now), now)
        view.incarnation = incarnation
        reset_backoff(view, self._pool_of(view), now)

    def mark_draining(self, name: str, now: float) -> None:
        """Stop sending new work to an endpoint that reports that it is draining."""
        self.set_drain_source(name, DrainSource.REPORTED, True, now)

    def set_drain_source(self, name: str, source: DrainSource, is_set: bool, now: float) -> None:
        """Set or clear the draining state of an endpoint reported by one source."""
        view = self._views.get(name)
        if view is not None:
            view.set_drain_source(source, is_set)
            self._refresh(view, now)

    def avoided_endpoints(self) -> Iterator[tuple[str, AvoidedEndpoints]]:
        """Yield each service with its calls that avoided a slow endpoint."""
        for service, pool in self._pools.items():
            yield service, pool.avoided_endpoints

    def _add_or_update(self, endpoint: Endpoint, now: float) -> None:
        view = self._views.get(endpoint.name)
        if view is not None and view.endpoint is endpoint:
            return
        if view is None:
            self._put(self._new_view(endpoint, now if self._loaded else None), now)
        elif view.endpoint.address != endpoint.address or _location_of(
            view.endpoint
        ) != _location_of(endpoint):
            self._pools[view.endpoint.service].remove(endpoint.name)
            self._put(self._new_view(endpoint, now), now)
        elif view.endpoint != endpoint:
            view.update_endpoint(endpoint)
            self._refresh(view, now)

    def _new_view(self, endpoint: Endpoint, cold_since: float | None) -> EndpointView:
        return EndpointView(endpoint, cold_since, self._runs.of(endpoint.name))

    def _put(self, view: EndpointView, now: float) -> EndpointView:
        endpoint = view.endpoint
        pool = self._pools.get(endpoint.service)
        if pool is None:
            pool = self._pools[endpoint.service] = ServicePool(
                self._rng, self._owner, self._subset_size
            )
        view.joins_quickly = pool.reports_slowdown
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

    def _refused(self, reason: RefusalReason, detail: str = "") -> Refused:
        return Refused(reason, retry_after(NO_ENDPOINT_OVERLOAD, self._rng), detail)

    def _store_report(self, view: EndpointView, load: LoadReport, now: float) -> None:
        before = view.drain_sources
        view.on_report(load, now)
        if load.callers or load.path_callers:
            self._pool_of(view).caller_limits.on_thresholds(now)
        if load.slowdown:
            self._pool_of(view).reports_slowdown = True
        if view.drain_sources != before:
            self._refresh(view, now)


def _location_of(endpoint: Endpoint) -> tuple[str, str, str]:
    return endpoint.service, endpoint.zone, endpoint.region
