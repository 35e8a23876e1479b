"""Figures of the reservations of returning clients, for operators."""

import msgspec

from finchshed.retry.reservation_counts import ReservationCounts


class ReservationFigures(msgspec.Struct, frozen=True):
    """Present state of the reservations of one service and class, for display.

    Attributes
    ----------
    held
        Reservations neither used nor expired.
    requests_per_second
        Upcoming capacity that reservations are made of; 0 if not known.
    reserved_seconds
        Time until the last reservation is due.
    """

    service: str
    importance: int
    held: int
    requests_per_second: float
    reserved_seconds: float
    counts: ReservationCounts
