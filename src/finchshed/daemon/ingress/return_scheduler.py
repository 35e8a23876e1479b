"""Schedules the return of refused clients: retry-after times that are reservations of capacity.

Connects :mod:`finchshed.retry.reservations` and :mod:`finchshed.admission.returning` to the root
requests by host of this daemon. Owns the reservations by service; they are lost when the daemon
ends, and its clients then compete as new ones.
"""

import random
from collections.abc import Callable, Iterable

import msgspec

from finchshed.admission.returning import NEW_REQUEST, Recognition, Return, recognize
from finchshed.common.importance import Importance
from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.daemon import metrics
from finchshed.daemon.decision_log import log_return_told
from finchshed.daemon.request import Request
from finchshed.retry.reservation_counts import ReservationCounts
from finchshed.retry.reservation_figures import ReservationFigures
from finchshed.retry.reservations import ReturnTime, ServiceReservations
from finchshed.runtime import clock

SCHEDULED_REASONS = frozenset(
    {RefusalReason.OVERLOAD, RefusalReason.QUEUE_FULL, RefusalReason.DEADLINE}
)
"""Refusals for lack of capacity; others have retry-after times of their own."""

LAST_POSITION = 0
"""Position of the requests of a class that are shed first."""


class ScheduledRequest(msgspec.Struct, frozen=True):
    """A root request, and how its client's reservations apply to it.

    Attributes
    ----------
    deadline
        Deadline of the client, monotonic seconds; None if it states none.
    """

    request: Request
    deadline: float | None
    recognition: Recognition


class ReturnScheduler:
    """Reservations of the daemon, by service.

    Parameters
    ----------
    rng
        Source of the jitter.
    own_share
        Returns the fraction of a service's requests in progress that this daemon sent.

    Attributes
    ----------
    is_enabled
        Whether the policy schedules returns.
    daemons
        Number of daemons, including this one, that share the capacity.
    """

    def __init__(self, rng: random.Random, own_share: Callable[[str], float]) -> None:
        self.is_enabled = False
        self.daemons = 1
        self._rng = rng
        self._own_share = own_share
        self._services: dict[str, ServiceReservations] = {}
        self._counts_of_removed = ReservationCounts()
        self._published = ReservationCounts()

    def configure(self, services: Iterable[str], *, is_enabled: bool) -> None:
        """Apply a new configuration; reservations of services that are gone are dropped."""
        self.is_enabled = is_enabled
        declared = frozenset(services) if is_enabled else frozenset()
        for name in self._services.keys() - declared:
            self._counts_of_removed = (
                self._services.pop(name).counts().plus(self._counts_of_removed)
            )
        for name in declared - self._services.keys():
            self._services[name] = ServiceReservations(self._rng)

    def on_arrival(self, request: Request, deadline: float | None) -> ScheduledRequest:
        """Recognize a return, and set the context of the request accordingly."""
        service = self._services.get(request.service)
        if service is None or deadline is None:
            return ScheduledRequest(request, deadline, NEW_REQUEST)
        reservations = service.of_class(request.context.importance)
        recognition = recognize(reservations, deadline, clock.now())
        context = request.context
        if recognition.kind is Return.DUE and recognition.reservation is not None:
            reservations.use(recognition.reservation)
            context = msgspec.structs.replace(context, returning=True)
        elif recognition.kind is Return.EARLY and recognition.reservation is not None:
            reservations.on_early(recognition.reservation)
            context = msgspec.structs.replace(context, position=LAST_POSITION)
        if context is not request.context:
            request = msgspec.structs.replace(request, context=context)
        return ScheduledRequest(request, deadline, recognition)

    def on_outcome(self, scheduled: ScheduledRequest, outcome: Outcome) -> Outcome:
        """Record the outcome; a refusal is returned with the scheduled retry-after time."""
        request = scheduled.request
        service = self._services.get(request.service)
        if service is None:
            return outcome
        now = clock.now()
        if not isinstance(outcome, Refused):
            service.on_admitted(request.context.importance, now)
            return outcome
        if outcome.reason not in SCHEDULED_REASONS:
            return outcome
        told = self._return_time(scheduled, service, now)
        if told is None:
            return outcome
        deadline = scheduled.deadline
        log_return_told(
            request,
            outcome.reason,
            told,
            returned=scheduled.recognition.kind.value,
            left_seconds=None if deadline is None else max(0.0, deadline - now),
        )
        return msgspec.structs.replace(outcome, retry_after=told.seconds)

    def figures(self) -> list[ReservationFigures]:
        """Return the present state by service and class, without classes that were never used."""
        now = clock.now()
        return [
            figures
            for name, service in sorted(self._services.items())
            for importance in Importance
            if (figures := _figures_of(name, service, importance, now)) is not None
        ]

    def sweep(self) -> None:
        """Drop expired reservations and publish the metrics; called periodically."""
        now = clock.now()
        total = self._counts_of_removed
        held = 0
        for service in self._services.values():
            held += service.expire(now)
            total = total.plus(service.counts())
        metrics.RESERVATIONS_HELD.set(held)
        metrics.count_reservations(self._published, total)
        self._published = total

    def _return_time(
        self, scheduled: ScheduledRequest, service: ServiceReservations, now: float
    ) -> ReturnTime | None:
        importance = scheduled.request.context.importance
        reservations = service.of_class(importance)
        recognition = scheduled.recognition
        if recognition.kind is Return.DUE:
            reservations.counts.refused_again += 1
        reservation = recognition.reservation
        is_early = recognition.kind is Return.EARLY and reservation is not None
        if is_early and reservation is not None and reservation.is_open and reservation.due > now:
            rate = service.capacity_rate(importance, now)
            return ReturnTime(reservation.due - now, True, rate or 0.0, len(reservations))
        if service.share.is_due(now):
            service.share.on_sample(self._own_share(scheduled.request.service), self.daemons, now)
        return service.reserve(importance, scheduled.deadline, now)


def _figures_of(
    name: str, service: ServiceReservations, importance: Importance, now: float
) -> ReservationFigures | None:
    reservations = service.of_class(importance)
    if reservations.counts == ReservationCounts():
        return None
    return ReservationFigures(
        service=name,
        importance=int(importance),
        held=len(reservations),
        requests_per_second=service.capacity_rate(importance, now) or 0.0,
        reserved_seconds=max(0.0, reservations.reserved_until - now),
        counts=msgspec.structs.replace(reservations.counts),
    )
