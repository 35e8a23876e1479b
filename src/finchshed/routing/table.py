"""Which endpoint a call goes to.

Two endpoints are drawn at random and the one with the lower expected wait is taken (Mitzenmacher,
*The Power of Two Choices in Randomized Load Balancing*, 2001), first within the caller's zone,
then its region, then anywhere. An endpoint that is leaving, ejected, silent or that would refuse
the request's rank is not drawn.
"""

import random
from collections.abc import Collection, Iterable

from finchshed.admission.rank import rank_of
from finchshed.common.context import CallContext
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.common.results import CallResult
from finchshed.configuration.resources import Endpoint
from finchshed.link.messages import LoadReport
from finchshed.retry.policy import retry_after
from finchshed.routing.endpoint import EndpointView

EJECT_AFTER_FAILURES = 5
"""Failures in a row after which an endpoint is ejected."""

EJECTION_SECONDS = 1.0
"""First ejection; it doubles with each further one."""

EJECTION_MAX_SECONDS = 30.0
"""Longest ejection."""

EJECTED_SHARE_MAX = 0.34
"""Largest share of a service's endpoints that may be ejected at a time."""

LINK_RETRY_SECONDS = 0.5
"""An endpoint whose link broke is left alone for this long unless it comes up before."""


class RoutingTable:
    """Endpoints of all services as one caller's daemon sees them.

    Parameters
    ----------
    zone, region
        Where the daemon runs.
    rng
        Source of the random choices.
    """

    def __init__(self, zone: str, region: str, rng: random.Random) -> None:
        self._zone = zone
        self._region = region
        self._rng = rng
        self._views: dict[str, EndpointView] = {}
        self._services: dict[str, tuple[list[EndpointView], ...]] = {}
        self._loaded = False
        self._now = 0.0

    def replace(self, endpoints: Iterable[Endpoint], now: float = 0.0) -> None:
        """Take the endpoints of a configuration in place of those held."""
        views: dict[str, EndpointView] = {}
        for endpoint in endpoints:
            held = self._views.get(endpoint.name)
            if held is None or held.endpoint.address != endpoint.address:
                views[endpoint.name] = EndpointView(endpoint, now if self._loaded else None)
            else:
                held.endpoint = endpoint
                views[endpoint.name] = held
        self._views = views
        self._loaded = True
        self._index()

    def view(self, name: str) -> EndpointView | None:
        """Return what is known of an endpoint."""
        return self._views.get(name)

    def choose(
        self, service: str, context: CallContext, excluded: Collection[str], now: float
    ) -> Endpoint | Refused:
        """Choose an endpoint for a call, or refuse it.

        Parameters
        ----------
        excluded
            Names of endpoints already tried.
        """
        rank = rank_of(context)
        spare: EndpointView | None = None
        shed = False
        for tier in self._services.get(service, ()):
            found, tier_shed = self._draw(tier, rank, excluded, now)
            shed = shed or tier_shed
            if found is None:
                continue
            if not found.is_full(now):
                return found.endpoint
            spare = spare or found
        if spare is not None:
            return spare.endpoint
        reason = RefusalReason.OVERLOAD if shed else RefusalReason.NO_BACKEND
        return Refused(reason=reason, retry_after=retry_after(1.0, self._rng))

    def choose_pinned(self, name: str, excluded: Collection[str], now: float) -> Endpoint | Refused:
        """Return the endpoint a session is pinned to; one that is leaving keeps its sessions."""
        view = self._views.get(name)
        if view is None or name in excluded or now < view.link_down_until:
            return Refused(RefusalReason.NO_BACKEND, retry_after(0.0, self._rng))
        return view.endpoint

    def on_sent(self, name: str, now: float) -> None:
        """Count an attempt sent."""
        view = self._views.get(name)
        if view is not None:
            view.in_flight += 1

    def on_reply(
        self, name: str, load: LoadReport | None, result: CallResult, latency: float, now: float
    ) -> None:
        """Take the end of an attempt; ``load`` is None if no answer came."""
        view = self._views.get(name)
        if view is None:
            return
        view.in_flight = max(0, view.in_flight - 1)
        if load is not None:
            view.on_report(load, now)
        view.on_result(result, latency, now)
        if view.consecutive_failures >= EJECT_AFTER_FAILURES:
            self._eject(view, now)

    def on_report(self, name: str, load: LoadReport, now: float) -> None:
        """Take a report that came with a heartbeat."""
        view = self._views.get(name)
        if view is not None:
            view.on_report(load, now)

    def on_link_down(self, name: str, now: float) -> None:
        """Leave an endpoint alone whose link broke or that is silent."""
        view = self._views.get(name)
        if view is not None:
            view.link_down_until = now + LINK_RETRY_SECONDS

    def on_link_up(self, name: str, incarnation: str, now: float) -> None:
        """Take a link that came up to the daemon of this incarnation."""
        view = self._views.get(name)
        if view is None:
            return
        view.link_down_until = 0.0
        if view.incarnation and view.incarnation != incarnation:
            fresh = EndpointView(view.endpoint, now)
            fresh.incarnation = incarnation
            self._views[name] = fresh
            self._index()
        else:
            view.incarnation = incarnation

    def mark_draining(self, name: str, now: float) -> None:
        """Send no new work to an endpoint that is leaving."""
        view = self._views.get(name)
        if view is not None:
            view.leaving = True

    def _draw(
        self, tier: list[EndpointView], rank: int, excluded: Collection[str], now: float
    ) -> tuple[EndpointView | None, bool]:
        shed = False
        candidates: list[EndpointView] = []
        for view in tier:
            if not view.is_available(now) or view.endpoint.name in excluded:
                continue
            if view.admits(rank, now) or view.take_probe(now):
                candidates.append(view)
            else:
                shed = True
        if not candidates:
            return None, shed
        first = self._rng.choice(candidates)
        second = self._rng.choice(candidates)
        return (first if first.cost(now) <= second.cost(now) else second), shed

    def _index(self) -> None:
        services: dict[str, tuple[list[EndpointView], ...]] = {}
        for view in self._views.values():
            endpoint = view.endpoint
            tiers = services.setdefault(endpoint.service, ([], [], []))
            if endpoint.zone == self._zone:
                tiers[0].append(view)
            elif endpoint.region == self._region:
                tiers[1].append(view)
            else:
                tiers[2].append(view)
        self._services = services

    def _eject(self, view: EndpointView, now: float) -> None:
        peers = [peer for tier in self._services[view.endpoint.service] for peer in tier]
        ejected = sum(1 for peer in peers if peer.ejected_until > now)
        allowed = max(1, int(len(peers) * EJECTED_SHARE_MAX)) if len(peers) > 1 else 0
        if ejected >= allowed:
            return
        duration = min(EJECTION_MAX_SECONDS, EJECTION_SECONDS * 2.0**view.ejections)
        view.ejections += 1
        view.ejected_until = now + duration
        view.consecutive_failures = 0
