"""Recognizes requests that return with a reservation.

Load pattern: see :mod:`finchshed.retry.reservations`. Patient clients return at the time they were
told; beside them, others retry immediately and often.

A client keeps its deadline over its tries, so what it has left is shorter than at first by the time
that has passed. A request is taken for the return of a refused one if its deadline is that of a
reservation which is due. Each reservation admits one request. A client that states a shorter
deadline than it has gains nothing unless a reservation with just this deadline is due, and then has
less time. One that comes before its reservation is due takes the last position of its class, so
that trying often gains nothing.
"""

import enum

import msgspec

from finchshed.retry.reservations import LATE_SECONDS, ClassReservations, Reservation

EARLY_FRACTION = 0.25
"""A reservation is due from this fraction of its wait before its time."""

MIN_TOLERANCE_SECONDS = 0.1
"""Difference of deadlines that is tolerated for short waits: what requests differ by in transit."""

TOLERANCE_FRACTION = 0.125
"""The same as a fraction of the wait. Below ``1 - EARLY_FRACTION`` by enough that the reservations
of others admit no client before most of its own wait is over."""

SAME_CLIENT_SECONDS = 0.01
"""Requests whose deadlines differ by no more than this are taken for tries of one client."""

MIN_AGE_SECONDS = 0.05
"""Age from which a reservation shows that its client tries again, whatever its timeout. Another
client of the same timeout has a later deadline by then, whatever both took in transit."""


class Return(enum.Enum):
    """What a request is, by the reservations of its service and class."""

    NONE = "none"
    """A new request, or one without a reservation."""

    EARLY = "early"
    """A try of a client whose reservation is not yet due."""

    DUE = "due"
    """The return of a client whose reservation is due."""


class Recognition(msgspec.Struct, frozen=True, gc=False):
    """What a request is, and its reservation if it has one."""

    kind: Return
    reservation: Reservation | None = None


NEW_REQUEST = Recognition(Return.NONE)


def recognize(reservations: ClassReservations, deadline: float, now: float) -> Recognition:
    """Return what a request with this deadline is, by the reservation of the nearest deadline.

    Parameters
    ----------
    deadline
        Deadline of the client, monotonic seconds.
    """
    reservations.expire(now)
    remaining = deadline - now
    usual = reservations.usual_timeout.observe(remaining, now)
    is_shorter = remaining < usual - SAME_CLIENT_SECONDS
    min_age = SAME_CLIENT_SECONDS if is_shorter else MIN_AGE_SECONDS
    for reservation in reservations.near(deadline):
        difference = abs(reservation.deadline - deadline)
        if is_due(reservation, now):
            if difference <= tolerance(reservation):
                return Recognition(Return.DUE, reservation)
        elif difference <= SAME_CLIENT_SECONDS and now - reservation.made_at > min_age:
            return Recognition(Return.EARLY, reservation)
    return NEW_REQUEST


def is_due(reservation: Reservation, now: float) -> bool:
    """Return whether a request that returns now is in time for ``reservation``.

    A client that tried too early is due at the time that it was told, so that it doesn't gain the
    tolerance by trying often.
    """
    early = EARLY_FRACTION * reservation.wait
    if reservation.was_early:
        early = min(early, MIN_AGE_SECONDS)
    return reservation.due - early <= now <= reservation.due + LATE_SECONDS


def tolerance(reservation: Reservation) -> float:
    """Return by how much the deadline of a request may differ from that of its reservation.

    At most half of the wait, so that no new request of the same deadline is taken for a return.
    """
    wait = reservation.wait
    return min(wait / 2.0, max(MIN_TOLERANCE_SECONDS, TOLERANCE_FRACTION * wait))
