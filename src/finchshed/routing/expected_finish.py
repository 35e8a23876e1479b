"""Expected time until an endpoint has finished one more request. No I/O.

Load pattern: back ends whose speed changes several times a second and that report it, and many
callers that see the same idle one. The requests ahead of a new one are those in the newest report
and those that this daemon sent since. See docs/design/backend-load.md.
"""

from finchshed.routing.endpoint import MIN_CONCURRENCY, MIN_LATENCY_SECONDS, EndpointView

FREE_FRACTION = 0.75
"""Fraction of its limit up to which an endpoint counts as free.

Reports are some requests old, and back ends slow down when nearly full.
"""


def finish_seconds(view: EndpointView, service_latency: float, now: float) -> float:
    """Return the expected time until one more request has finished, seconds.

    Parameters
    ----------
    service_latency
        Mean latency of the service, for an endpoint without measured service times.
    """
    work = view.work
    usual = work.service_seconds or view.expected_latency(service_latency, now)
    seconds = max(usual, MIN_LATENCY_SECONDS) * work.slowdown(now)
    queued = work.requests_ahead(view.in_flight, now) + view.penalty(now) + 1.0
    free = FREE_FRACTION * view.limit(now)
    if queued <= free:
        return seconds
    return seconds * queued / max(MIN_CONCURRENCY, free)


def would_queue(view: EndpointView, now: float) -> bool:
    """Return whether a request would queue, at an endpoint that reports its slowdown."""
    if not view.work.reports_slowdown:
        return False
    return view.work.requests_ahead(view.in_flight, now) >= view.limit(now)
