"""Formats the sections of a daemon's load page as text."""

from collections.abc import Iterator
from typing import assert_never

from finchshed.admission.rank import admitted_fraction, importance_of
from finchshed.common.importance import Importance
from finchshed.common.units import MILLISECONDS
from finchshed.ctl.output import format_table
from finchshed.observability.load_page import (
    EndpointsSection,
    GateSection,
    LoadPage,
    ReservationsSection,
    RetriesSection,
    RetrySpendingSection,
    Section,
    SharesSection,
)
from finchshed.routing.endpoint_load import EndpointLoad, ServiceLoad

ENDPOINT_HEADER = (
    "service",
    "endpoint",
    "in flight",
    "reported",
    "limit",
    "queue delay",
    "report age",
    "rate limit",
    "slowdown",
    "state",
)
RETRY_HEADER = ("service", "retry tokens", "capacity")
RETRY_SPENDING_HEADER = ("service", "class", "retries granted", "denied", "accepted attempts")
SHARES_HEADER = ("caller", "class", "weight", "demand", "share", "used", "refused")
RESERVATIONS_HEADER = ("service", "class", "reservations", "capacity", "reserved for")


def format_page(page: LoadPage) -> Iterator[str]:
    """Yield the lines of a page."""
    beside = f"beside {page.service}" if page.service else "without a back end"
    yield f"daemon {page.node}, {beside}"
    for section in page.sections:
        yield ""
        yield from format_section(section)


def format_section(section: Section) -> list[str]:
    """Return the lines of one section."""
    match section:
        case GateSection():
            return _format_gate(section)
        case EndpointsSection():
            return _format_endpoints(section)
        case RetriesSection():
            return _format_retries(section)
        case RetrySpendingSection():
            return _format_retry_spending(section)
        case SharesSection():
            return _format_shares(section)
        case ReservationsSection():
            return _format_reservations(section)
        case _:
            assert_never(section)


def _format_gate(gate: GateSection) -> list[str]:
    return [
        f"gate: {gate.running} running, {gate.queued} queued,"
        f" limit {gate.limit} of {gate.slots} slots,"
        f" threshold {gate.threshold} ({_format_threshold(gate.threshold)}),"
        f" rate limit {_format_rate(gate.rate_limit)}"
    ]


def _format_rate(requests_per_second: float | None) -> str:
    return "none" if requests_per_second is None else f"{requests_per_second:g}/s"


def _format_threshold(threshold: int) -> str:
    """Return what a threshold refuses: all of lower classes, and a fraction of one class."""
    if threshold <= 0:
        return "refuses nothing"
    importance = importance_of(threshold)
    refused = 1.0 - admitted_fraction(importance, threshold)
    text = f"refuses {refused:.2f} of class {importance.name.lower()}"
    return text if importance is min(Importance) else f"{text} and all of lower classes"


def _format_endpoints(section: EndpointsSection) -> list[str]:
    rows = [
        _endpoint_row(service, endpoint)
        for service in section.services
        for endpoint in service.endpoints
    ]
    if not rows:
        return ["endpoints: none known"]
    omitted = [
        f"{service.service}: {service.known - len(service.endpoints)} more endpoints, not listed"
        for service in section.services
        if service.known > len(service.endpoints)
    ]
    return [*format_table(ENDPOINT_HEADER, rows), *omitted]


def _endpoint_row(service: ServiceLoad, endpoint: EndpointLoad) -> tuple[str, ...]:
    age = endpoint.report_age_seconds
    return (
        service.service,
        endpoint.endpoint,
        str(endpoint.in_flight),
        str(endpoint.reported_in_flight),
        str(endpoint.limit),
        f"{endpoint.queue_delay_seconds * MILLISECONDS:.1f} ms",
        "no report" if age is None else f"{age:.3f} s",
        _format_rate(endpoint.rate_limit),
        "not reported" if endpoint.slowdown is None else f"{endpoint.slowdown:.2f}",
        _state_of(endpoint),
    )


def _state_of(endpoint: EndpointLoad) -> str:
    """Return why an endpoint gets no calls, or ``used``."""
    reasons = []
    if endpoint.draining:
        reasons.append(f"draining ({', '.join(endpoint.draining)})")
    if endpoint.ejected_seconds > 0.0:
        reasons.append(f"ejected for {endpoint.ejected_seconds:.1f} s")
    if endpoint.link_down_seconds > 0.0:
        reasons.append(f"link down for {endpoint.link_down_seconds:.1f} s")
    return ", ".join(reasons) or "used"


def _format_retries(section: RetriesSection) -> list[str]:
    if not section.services:
        return ["retry tokens: no service called yet"]
    rows = [
        (tokens.service, f"{tokens.tokens:.1f}", f"{tokens.capacity:.1f}")
        for tokens in section.services
    ]
    return format_table(RETRY_HEADER, rows)


def _format_retry_spending(section: RetrySpendingSection) -> list[str]:
    rows = [
        (service, name, str(granted), str(figures.denied[name]), f"{figures.acceptance:.2f}")
        for service, figures in section.services.items()
        for name, granted in figures.granted.items()
    ]
    return format_table(RETRY_SPENDING_HEADER, rows) if rows else ["retries by class: none"]


def _format_shares(section: SharesSection) -> list[str]:
    rows = [
        (
            share.caller or "(none)",
            share.importance.name.lower(),
            f"{share.weight:g}",
            f"{share.demand_slots:.2f} slots",
            f"{share.share_slots:.2f} slots",
            f"{share.used_slots:.2f} slots",
            f"{share.refused_per_second:.1f}/s",
        )
        for share in section.callers
    ]
    return format_table(SHARES_HEADER, rows) if rows else ["shares: no callers yet"]


def _format_reservations(section: ReservationsSection) -> list[str]:
    rows = [
        (
            figures.service,
            Importance(figures.importance).name.lower(),
            str(figures.held),
            f"{figures.requests_per_second:.1f}/s",
            f"{figures.reserved_seconds:.2f} s",
        )
        for figures in section.classes
    ]
    return format_table(RESERVATIONS_HEADER, rows) if rows else ["reservations: none"]
