"""The gate beside one back end: what starts, what waits, what is refused.

Inputs: rank and seconds left of each request, the path threshold of its route (rank), the learnt
concurrency limit (requests) and mean time at the back end (seconds), and a threshold by one of two
rules. A request whose predicted finish lies past its deadline is refused at once, as is the lowest
rank when the queue is full. No slot is left idle while a request waits, whatever the threshold
says. Reasons given: ``overload``, ``queue_full``, ``deadline``.

Owns the requests that wait and run. Relies on its caller to pass the time as ``now``, monotonic
seconds, to carry out the returned effects in order, and to call :meth:`Gate.tick` while anything
waits.
"""

import random
from collections.abc import Mapping

import msgspec

from finchshed.admission.demand import DemandThreshold
from finchshed.admission.effects import GateEffect, Refuse, Start
from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_thresholds import NO_PATHS, PathThreshold
from finchshed.admission.rank import rank_of, rank_once_admitted
from finchshed.admission.threshold import AdmissionThreshold
from finchshed.admission.threshold_rule import Threshold, ThresholdRule
from finchshed.admission.waiting import Waiting, WaitingQueue
from finchshed.common.context import CallContext
from finchshed.common.moving_average import moving_average
from finchshed.common.outcomes import RefusalReason
from finchshed.common.results import CallResult
from finchshed.limit.concurrency import ConcurrencyLimit
from finchshed.retry.policy import retry_after

QUEUE_PER_SLOT = 8
"""Longest queue, requests for each declared slot. Chosen, not measured; a tick takes 0.08 us for
each request that waits (docs/design/routing.md)."""

RESERVE_DIVISOR = 4
"""What waits below the threshold is kept up to the limit over this, so that no slot runs idle.
Chosen, not measured alone; part of "queue shed" in docs/design/admission.md."""

REFUSED_WEIGHT = 0.02
"""Weight of one decision in the measured fraction of refusals: about the last 50 decisions.
Chosen, not measured."""

RETRY_AFTER_ADMITTED_LEAST = 0.02
"""Admitted fraction that the time to come back is computed with at least: the overload told is 49
at most. Chosen, not measured; it keeps a division by 0 away."""


class _Running(msgspec.Struct, gc=False):
    """A started request. ``running`` counts those that ran then, itself included."""

    started: float
    rank: int
    running: int


class Gate:
    """Admission to one back end.

    Parameters
    ----------
    slots
        Declared number of requests the back end runs at a time.
    rng
        Spreads the times at which refused callers are to come back.
    now
        Time of creation, seconds.
    threshold_rule
        What sets the threshold.
    """

    def __init__(
        self,
        slots: int,
        rng: random.Random,
        now: float,
        *,
        threshold_rule: ThresholdRule = ThresholdRule.BY_QUEUE,
    ) -> None:
        self._slots = slots
        self._rng = rng
        self._concurrency = ConcurrencyLimit(slots)
        self._rule = threshold_rule
        self._threshold = _threshold_by(threshold_rule, now)
        self._queue = WaitingQueue()
        self._running: dict[int, _Running] = {}
        self._order = 0
        self._refused_fraction = 0.0

    @property
    def running(self) -> int:
        """Requests at the back end."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests waiting."""
        return len(self._queue)

    def set_slots(self, slots: int) -> None:
        """Act on a changed declaration."""
        self._slots = slots
        self._concurrency.set_slots(slots)

    def arrive(
        self, token: int, context: CallContext, now: float, path_threshold: float = 0.0
    ) -> list[GateEffect]:
        """Admit, queue or refuse a new request. ``token`` is unique among those not finished.

        Parameters
        ----------
        path_threshold
            Rank below which calls that the request makes would be refused.
        """
        rank = rank_of(context)
        if rank < path_threshold and not context.is_admitted:
            return [self._count_refusal(token, RefusalReason.OVERLOAD)]
        self._threshold.on_arrival(rank, context.admitted_fraction, context.announced_calls)
        if not self._queue and len(self._running) < self._concurrency.limit:
            self._begin(token, rank, now)
            return [Start(token)]
        if rank < self._threshold.value and not context.is_admitted:
            # A running session was admitted as a whole; its requests wait by their rank.
            return [self._count_refusal(token, RefusalReason.OVERLOAD)]
        return self._enqueue(self._waiting_for(token, rank, context, now), now)

    def finish(self, token: int, result: CallResult, now: float) -> list[GateEffect]:
        """Count the end of a started request and start what waits."""
        running = self._running.pop(token, None)
        if running is not None:
            seconds = now - running.started
            self._concurrency.on_result(result, seconds, now, running.running)
            if result is not CallResult.REFUSED:
                self._threshold.on_finish(running.rank, seconds)
        return self._fill(now)

    def cancel(self, token: int, now: float) -> list[GateEffect]:
        """Drop a request the caller gave up: one that waits is forgotten and gets no effect.

        One that was started stays counted until :meth:`finish` says that the back end ended it.
        """
        if self._queue.remove(token):
            self._threshold.on_queue(len(self._queue))
        return self._fill(now)

    def tick(self, now: float) -> list[GateEffect]:
        """Refuse what can no longer finish in time, and update the threshold."""
        effects = self._expire(now)
        effects.extend(self._fill(now))
        self._update_threshold(now)
        effects.extend(self._shed())
        return effects

    def load_report(self, now: float, paths: Mapping[str, PathThreshold] = NO_PATHS) -> LoadReport:
        """Update the threshold and return the load as callers are told it.

        ``paths`` are the thresholds met further down, by route.
        """
        self._update_threshold(now)
        queued = len(self._queue)
        return LoadReport(
            threshold=self._threshold.value,
            queue_delay=queued * self._seconds_per_finish(),
            in_flight=len(self._running) + queued,
            limit=self._concurrency.limit,
            paths=paths,
        )

    def _begin(self, token: int, rank: int, now: float) -> None:
        self._refused_fraction = moving_average(self._refused_fraction, 0.0, REFUSED_WEIGHT)
        self._running[token] = _Running(now, rank, len(self._running) + 1)

    def _waiting_for(self, token: int, rank: int, context: CallContext, now: float) -> Waiting:
        """Return the place in the queue of a request that the threshold admits.

        With a threshold by demand it admits the same part of each kind of request, so what it let
        through waits alike: a request that comes here first isn't put behind the calls of its
        class, which the threshold let through further up.
        """
        self._order += 1
        is_by_demand = self._rule is ThresholdRule.BY_DEMAND
        return Waiting(
            rank=rank_once_admitted(rank) if is_by_demand else rank,
            admission_rank=rank,
            order=self._order,
            token=token,
            deadline=now + context.remaining_seconds,
            may_be_shed=not context.is_admitted,
        )

    def _enqueue(self, waiting: Waiting, now: float) -> list[GateEffect]:
        wait = (self._queue.count_ahead(waiting) + 1) * self._seconds_per_finish()
        if now + wait + self._concurrency.mean_latency > waiting.deadline:
            return [self._count_refusal(waiting.token, RefusalReason.DEADLINE)]
        effects: list[GateEffect] = []
        if len(self._queue) >= self._slots * QUEUE_PER_SLOT:
            dropped = self._queue.make_room_for(waiting)
            if dropped is None:
                return [self._count_refusal(waiting.token, RefusalReason.QUEUE_FULL)]
            effects.append(self._count_refusal(dropped.token, RefusalReason.QUEUE_FULL))
        self._queue.add(waiting)
        effects.extend(self._fill(now))
        return effects

    def _fill(self, now: float) -> list[GateEffect]:
        """Start what waits while a slot is free."""
        effects: list[GateEffect] = []
        limit = self._concurrency.limit
        while self._queue and len(self._running) < limit:
            waiting = self._queue.pop_highest()
            if now + self._concurrency.mean_latency > waiting.deadline:
                effects.append(self._count_refusal(waiting.token, RefusalReason.DEADLINE))
                continue
            self._begin(waiting.token, waiting.rank, now)
            effects.append(Start(waiting.token))
        self._threshold.on_queue(len(self._queue))
        return effects

    def _expire(self, now: float) -> list[GateEffect]:
        """Refuse what can't finish in time, by the number of requests ahead of it."""
        finish = now + self._concurrency.mean_latency
        late = self._queue.take_out_late(finish, self._seconds_per_finish())
        if late:
            self._threshold.on_queue(len(self._queue))
        return [self._count_refusal(item.token, RefusalReason.DEADLINE) for item in late]

    def _shed(self) -> list[GateEffect]:
        """Refuse what waits below the threshold, but keep enough to fill the slots."""
        may_drop = len(self._queue) - max(1, self._concurrency.limit // RESERVE_DIVISOR)
        threshold = self._threshold.value
        if may_drop <= 0 or not threshold:
            return []
        below = self._queue.take_out_below(threshold, may_drop)
        self._threshold.on_queue(len(self._queue))
        return [self._count_refusal(item.token, RefusalReason.OVERLOAD) for item in below]

    def _seconds_per_finish(self) -> float:
        return self._concurrency.mean_latency / self._concurrency.limit

    def _update_threshold(self, now: float) -> None:
        if self._concurrency.mean_latency <= 0.0:
            return
        self._threshold.step(
            now,
            running=len(self._running),
            queued=len(self._queue),
            limit=self._concurrency.limit,
            mean_seconds=self._concurrency.mean_latency,
        )

    def _count_refusal(self, token: int, reason: RefusalReason) -> Refuse:
        """Count a refusal, and return it with the time to come back by the overload since."""
        self._refused_fraction = moving_average(self._refused_fraction, 1.0, REFUSED_WEIGHT)
        admitted = max(RETRY_AFTER_ADMITTED_LEAST, 1.0 - self._refused_fraction)
        overload = self._refused_fraction / admitted
        return Refuse(token, reason, retry_after(overload, self._rng))


def _threshold_by(rule: ThresholdRule, now: float) -> Threshold:
    if rule is ThresholdRule.BY_DEMAND:
        return DemandThreshold(now)
    return AdmissionThreshold(now)
