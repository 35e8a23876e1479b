"""Number of events of reservations, for metrics and display."""

import msgspec


class ReservationCounts(msgspec.Struct):
    """Number of events since the start.

    Attributes
    ----------
    made, not_made
        Refused requests with a reservation, and those that could not use one.
    kept, expired
        Reservations used by a request that returned, and those that were not.
    refused_again
        Requests that were refused although they returned with a reservation.
    early
        Requests that returned before their reservation was due.
    """

    made: int = 0
    not_made: int = 0
    kept: int = 0
    expired: int = 0
    refused_again: int = 0
    early: int = 0

    def plus(self, other: "ReservationCounts") -> "ReservationCounts":
        """Return the sums of both."""
        pairs = zip(msgspec.structs.astuple(self), msgspec.structs.astuple(other), strict=True)
        return ReservationCounts(*(first + second for first, second in pairs))
