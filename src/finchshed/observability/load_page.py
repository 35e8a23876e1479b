"""Load page of a daemon, as typed sections: ``GET /load`` on its admin address.

``finchshed ctl load`` prints it. A new section needs

1. a struct in :data:`Section`, here;
2. its figures in :func:`finchshed.daemon.load_page.read_sections`;
3. its lines in :func:`finchshed.ctl.load_lines.format_section`.
"""

from typing import TypeAlias

import msgspec

from finchshed.admission.caller_shares import CallerShare
from finchshed.retry.buckets import RetryTokens
from finchshed.retry.reservation_figures import ReservationFigures
from finchshed.retry.spending import RetryFigures
from finchshed.routing.endpoint_load import ServiceLoad

LOAD_PATH = "/load"


class GateSection(msgspec.Struct, frozen=True, tag="gate"):
    """Admission to the back end beside the daemon; missing on an edge.

    Attributes
    ----------
    slots
        Requests that the back end runs concurrently, as declared or reported.
    limit
        Concurrency limit, adapted and at most ``slots``.
    running, queued
        Requests at the back end, and waiting for it.
    threshold
        Requests of a lower rank are refused; 0 refuses none.
    rate_limit
        Requests per second that the back end names as what it takes; None if it names none.
    """

    slots: int
    limit: int
    running: int
    queued: int
    threshold: int
    rate_limit: float | None = None


class EndpointsSection(msgspec.Struct, frozen=True, tag="endpoints"):
    """What the daemon believes of the endpoints that it calls."""

    services: tuple[ServiceLoad, ...]


class RetriesSection(msgspec.Struct, frozen=True, tag="retries"):
    """Tokens for retries of the daemon's calls."""

    services: tuple[RetryTokens, ...]


class RetrySpendingSection(msgspec.Struct, frozen=True, tag="retry_spending"):
    """Retries by service, where requests refill the buckets."""

    services: dict[str, RetryFigures]


class SharesSection(msgspec.Struct, frozen=True, tag="shares"):
    """Callers with the highest demand at the back end, with ``fair_shares``."""

    callers: tuple[CallerShare, ...]


class ReservationsSection(msgspec.Struct, frozen=True, tag="reservations"):
    """Reservations of returning clients by service and class, with ``schedules_returns``."""

    classes: tuple[ReservationFigures, ...]


Section: TypeAlias = (
    GateSection
    | EndpointsSection
    | RetriesSection
    | RetrySpendingSection
    | SharesSection
    | ReservationsSection
)


class LoadPage(msgspec.Struct, frozen=True):
    """Response of ``/load``; ``service`` is that of the back end beside the daemon, if any."""

    node: str
    service: str
    sections: tuple[Section, ...]
