"""Figures of endpoints as seen by one calling daemon, for operators."""

import heapq
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from finchshed.routing.endpoint import DrainSource, EndpointView

MAX_ENDPOINTS_PER_SERVICE = 64
"""Endpoints of a service that are listed; those with the most calls in flight come first."""

MAX_SERVICES = 64
"""Services that are listed; those with the most calls in flight come first."""


class EndpointLoad(msgspec.Struct, frozen=True):
    """What a daemon believes of one endpoint.

    Attributes
    ----------
    in_flight
        Calls of this daemon that the endpoint has not answered.
    report_age_seconds
        Time since its last load report; None if there was none.
    reported_in_flight
        Requests running or queued there, of all callers, by that report.
    limit
        Its concurrency limit by that report, or else its slots.
    queue_delay_seconds
        Its queueing delay by that report.
    draining
        Sources that say that it drains; it gets no new calls while there is one.
    rate_limit
        Requests per second that its back end names as what it takes; None if it names none.
    slowdown
        Slowdown in use, 1 if the report is too old; None if its back end reports none.
    requests_ahead
        Requests ahead of a new one, with those that this daemon sent since the report.
    ejected_seconds, link_down_seconds
        Time for which it gets no calls after failures, and after its link broke; 0 if it does.
    """

    endpoint: str
    in_flight: int
    report_age_seconds: float | None
    reported_in_flight: int
    limit: int
    queue_delay_seconds: float
    rate_limit: float | None = None
    slowdown: float | None = None
    requests_ahead: int = 0
    draining: tuple[str, ...] = ()
    ejected_seconds: float = 0.0
    link_down_seconds: float = 0.0


class ServiceLoad(msgspec.Struct, frozen=True):
    """What a daemon believes of the endpoints of one service.

    Attributes
    ----------
    known
        Number of endpoints, including those that are not listed.
    in_flight
        Calls of this daemon to all of them.
    """

    service: str
    known: int
    in_flight: int
    endpoints: tuple[EndpointLoad, ...]


def loads_by_service(views: Iterable[EndpointView], now: float) -> tuple[ServiceLoad, ...]:
    """Return the figures of endpoints by service, bounded in number, the busiest first."""
    by_service: dict[str, list[EndpointView]] = defaultdict(list)
    for view in views:
        by_service[view.endpoint.service].append(view)
    busiest = heapq.nsmallest(
        MAX_SERVICES, by_service, key=lambda name: (-_in_flight(by_service[name]), name)
    )
    return tuple(_service_load(name, by_service[name], now) for name in busiest)


def _service_load(service: str, views: list[EndpointView], now: float) -> ServiceLoad:
    busiest = heapq.nsmallest(
        MAX_ENDPOINTS_PER_SERVICE, views, key=lambda view: (-view.in_flight, view.endpoint.name)
    )
    endpoints = tuple(_endpoint_load(view, now) for view in busiest)
    return ServiceLoad(service, len(views), _in_flight(views), endpoints)


def _endpoint_load(view: EndpointView, now: float) -> EndpointLoad:
    age = view.report_age(now)
    report = view.report
    sources = [source for source in DrainSource if source in view.drain_sources]
    return EndpointLoad(
        endpoint=view.endpoint.name,
        in_flight=view.in_flight,
        report_age_seconds=None if age < 0.0 else age,
        reported_in_flight=report.in_flight,
        limit=report.limit or view.endpoint.slots,
        queue_delay_seconds=report.queue_delay,
        rate_limit=view.run.rate_limit,
        slowdown=view.work.slowdown(now) if view.work.reports_slowdown else None,
        requests_ahead=view.work.requests_ahead(view.in_flight, now),
        draining=tuple(str(source.name).lower() for source in sources),
        ejected_seconds=max(0.0, view.ejected_until - now),
        link_down_seconds=max(0.0, view.link_down_until - now),
    )


def _in_flight(views: Iterable[EndpointView]) -> int:
    return sum(view.in_flight for view in views)
