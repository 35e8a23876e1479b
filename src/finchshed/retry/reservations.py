"""Reservations of upcoming capacity for clients that were refused, by service and class.

Load pattern: clients compete for less capacity than they ask for, and each refused one returns when
it was told. If the retry-after time doesn't depend on the capacity, most of them are refused again.

The retry-after time is the moment at which the upcoming capacity, after the reservations already
made, can take the request. The rate of that capacity is the recent rate at which requests of the
class and of less important ones were admitted: the class may use what they use. Reservations of
more important classes come first. State belongs to the daemon that refuses; it is lost with it.

:mod:`finchshed.admission.returning` recognizes the requests that return.
"""

import math
import random
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterator
from operator import attrgetter

import msgspec

from finchshed.common.importance import Importance
from finchshed.retry.admitted_rate import AdmittedRate
from finchshed.retry.even_share import EvenShare
from finchshed.retry.policy import RETRY_AFTER_MAX_SECONDS, RETRY_AFTER_SPREAD
from finchshed.retry.reservation_counts import ReservationCounts
from finchshed.retry.usual_timeout import UsualTimeout

MIN_RATE = 1.0
"""Lower bound of the rate of upcoming capacity, requests a second."""

RESERVED_FRACTION = 1.05
"""Reserved rate as a multiple of the rate of admitted requests. Above 1, because the slots would
otherwise stay free for clients that don't return; the excess waits in the queues of the gates."""

USABLE_FRACTION = 1 / 3
"""Fraction of its remaining time up to which a client obeys a retry-after time."""

LATE_SECONDS = 0.5
"""A reservation expires this long after its due time."""

CALM_SECONDS = 1.0
"""Time without a refusal after which the next one begins an overload."""

ONSET_SECONDS = 0.5
"""Time from there during which nothing is reserved: requests admitted before show the demand, those
after it the capacity."""

MAX_RESERVATIONS = 4096
"""Maximum number of reservations of a service and class, which bounds the memory."""

MAX_EXAMINED = 16
"""Maximum number of reservations examined on each side of a deadline, to bound the time."""

_deadline_of = attrgetter("deadline")


class Reservation(msgspec.Struct, gc=False, eq=False):
    """A place in the upcoming capacity.

    Attributes
    ----------
    deadline
        Deadline of the client that was refused; the same when it returns.
    made_at, due
        When it was made, and when the client was told to return, monotonic seconds.
    is_open
        Whether it was neither used nor has expired.
    was_early
        Whether its client tried before it was due.
    """

    deadline: float
    made_at: float
    due: float
    is_open: bool = True
    was_early: bool = False

    @property
    def wait(self) -> float:
        """Time that the client was told to wait, seconds."""
        return self.due - self.made_at


class ReturnTime(msgspec.Struct, frozen=True, gc=False):
    """Retry-after time of a refused request, with its inputs.

    Attributes
    ----------
    seconds
        Time until the return.
    is_reserved
        Whether capacity is reserved for it.
    rate
        Upcoming capacity, requests a second.
    ahead
        Reservations of the class made before.
    """

    seconds: float
    is_reserved: bool
    rate: float
    ahead: int


class ClassReservations:
    """Open reservations of one service and class, ordered by due time and by deadline.

    Attributes
    ----------
    counts
        Events since the start.
    """

    def __init__(self) -> None:
        self.counts = ReservationCounts()
        self.rate = AdmittedRate()
        self.usual_timeout = UsualTimeout()
        self.reserved_until = 0.0
        self._by_due: deque[Reservation] = deque()
        self._by_deadline: list[Reservation] = []

    def __len__(self) -> int:
        """Return the number of open reservations."""
        return len(self._by_deadline)

    def add(self, reservation: Reservation) -> None:
        """Add a reservation, due no earlier than those added before."""
        self._by_due.append(reservation)
        insort(self._by_deadline, reservation, key=_deadline_of)
        self.counts.made += 1

    def use(self, reservation: Reservation) -> None:
        """Use a reservation for a request that returned."""
        self._close(reservation)
        self.counts.kept += 1

    def on_early(self, reservation: Reservation) -> None:
        """Record a try of the client of a reservation that is not yet due."""
        reservation.was_early = True
        self.counts.early += 1

    def expire(self, now: float) -> None:
        """Remove the reservations that are past their time."""
        while self._by_due:
            reservation = self._by_due[0]
            if reservation.is_open and reservation.due + LATE_SECONDS >= now:
                return
            self._by_due.popleft()
            if reservation.is_open:
                self._close(reservation)
                self.counts.expired += 1

    def near(self, deadline: float) -> Iterator[Reservation]:
        """Yield open reservations, those with the nearest deadline first; at most a fixed number.

        Nothing may be added or removed meanwhile.
        """
        entries = self._by_deadline
        after = bisect_left(entries, deadline, key=_deadline_of)
        before = after - 1
        first, last = max(0, after - MAX_EXAMINED), min(len(entries), after + MAX_EXAMINED)
        while before >= first or after < last:
            is_before_nearer = before >= first and (
                after >= last
                or deadline - entries[before].deadline < entries[after].deadline - deadline
            )
            if is_before_nearer:
                yield entries[before]
                before -= 1
            else:
                yield entries[after]
                after += 1

    def _close(self, reservation: Reservation) -> None:
        reservation.is_open = False
        index = bisect_left(self._by_deadline, reservation.deadline, key=_deadline_of)
        while self._by_deadline[index] is not reservation:
            index += 1
        del self._by_deadline[index]


class ServiceReservations:
    """Reservations of one service.

    Parameters
    ----------
    rng
        Source of the jitter.

    Attributes
    ----------
    share
        Share of this daemon in the capacity of the service.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.share = EvenShare()
        self._classes = tuple(ClassReservations() for _ in Importance)
        self._overloaded_since = -math.inf
        self._refused_at = -math.inf

    def of_class(self, importance: Importance) -> ClassReservations:
        """Return the reservations of a class."""
        return self._classes[importance]

    def counts(self) -> ReservationCounts:
        """Return the events of all classes."""
        total = ReservationCounts()
        for entry in self._classes:
            total = total.plus(entry.counts)
        return total

    def expire(self, now: float) -> int:
        """Remove the reservations that are past their time; return the number of open ones."""
        for entry in self._classes:
            entry.expire(now)
        return sum(len(entry) for entry in self._classes)

    def on_admitted(self, importance: Importance, now: float) -> None:
        """Count a request that was admitted."""
        self._classes[importance].rate.on_admitted(now)

    def capacity_rate(self, importance: Importance, now: float) -> float | None:
        """Return the capacity that a class may use, requests a second; None if not known."""
        if not any(entry.rate.is_known(now) for entry in self._classes):
            return None
        usable = self._classes[: importance + 1]
        admitted = sum(entry.rate.per_second(now) for entry in usable)
        return max(MIN_RATE, RESERVED_FRACTION * self.share.factor * admitted)

    def _is_overloaded(self, now: float) -> bool:
        """Record a refusal; return whether the overload has lasted long enough for a rate."""
        if now - self._refused_at > CALM_SECONDS:
            self._overloaded_since = now
            for entry in self._classes:
                entry.rate.restart(now)
        self._refused_at = now
        return now - self._overloaded_since >= ONSET_SECONDS

    def reserve(
        self, importance: Importance, deadline: float | None, now: float
    ) -> ReturnTime | None:
        """Return the retry-after time of a refused request; reserve it if the client can use it.

        Parameters
        ----------
        deadline
            Deadline of the client, monotonic seconds; None if it is not known.

        Returns
        -------
        ReturnTime | None
            None if no rate of requests admitted under overload is known.
        """
        rate = self.capacity_rate(importance, now) if self._is_overloaded(now) else None
        if rate is None:
            return None
        entry = self._classes[importance]
        entry.expire(now)
        interval = 1.0 / rate
        reserved_until = max(entry.reserved_until for entry in self._classes[importance:])
        begin = max(now, reserved_until) + interval
        due = begin + interval * self._rng.random()
        wait, ahead = due - now, len(entry)
        longest = 0.0 if deadline is None else (deadline - now) * USABLE_FRACTION
        if wait > min(longest, RETRY_AFTER_MAX_SECONDS) or ahead >= MAX_RESERVATIONS:
            entry.counts.not_made += 1
            # Spread, since all that are refused before the next reservation get this time.
            spread = wait * (1.0 + RETRY_AFTER_SPREAD * self._rng.random())
            return ReturnTime(min(spread, RETRY_AFTER_MAX_SECONDS), False, rate, ahead)
        assert deadline is not None
        entry.reserved_until = begin
        entry.add(Reservation(deadline, now, due))
        return ReturnTime(wait, True, rate, ahead)
