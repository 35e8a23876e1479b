"""The gate beside one back end: what starts, what waits, what is refused.

Requests wait in a bounded queue ordered by rank. A request whose predicted finish lies past its
deadline is refused at once, as is the lowest rank when the queue is full. The gate never leaves a
slot idle while a request waits, whatever the threshold says. All methods take the time as ``now``,
monotonic seconds, and return the effects in order.
"""

import random
from bisect import bisect_left, insort
from collections.abc import Mapping

import msgspec

from finchshed.admission.demand import DemandThreshold
from finchshed.admission.effects import GateEffect, Refuse, Start
from finchshed.admission.load_report import LoadReport
from finchshed.admission.paths import NO_PATHS, PathThreshold
from finchshed.admission.rank import rank_of, rank_once_admitted
from finchshed.admission.threshold import AdmissionThreshold, Threshold
from finchshed.common.context import CallContext
from finchshed.common.outcomes import RefusalReason
from finchshed.common.results import CallResult
from finchshed.limit.concurrency import ConcurrencyLimit
from finchshed.retry.policy import retry_after

QUEUE_PER_SLOT = 8
"""Longest queue, as a multiple of the declared slots."""

RESERVE_DIVISOR = 4
"""What waits below the threshold is kept up to the limit over this, so that no slot runs idle."""

OVERLOAD_WEIGHT = 0.02
"""Weight of one arrival in the measured share of refusals."""


class _Waiting(msgspec.Struct, gc=False):
    """A request in the queue.

    ``rank`` is what the queue is ordered by, ``admission_rank`` what the threshold admits it by.
    """

    rank: int
    admission_rank: int
    order: int
    token: int
    deadline: float
    arrived: float
    may_be_shed: bool


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
        Spreads the times at which refused callers are told to come back.
    now
        Time of creation, seconds.
    by_demand
        Whether the threshold follows the estimated demand of each class in place of the queue.
    """

    def __init__(
        self, slots: int, rng: random.Random, now: float, *, by_demand: bool = False
    ) -> None:
        self._slots = slots
        self._rng = rng
        self._concurrency = ConcurrencyLimit(slots)
        self._queues_alike = by_demand
        self._threshold: Threshold = DemandThreshold(now) if by_demand else AdmissionThreshold(now)
        self._queue: list[tuple[int, int, _Waiting]] = []
        self._waiting: dict[int, _Waiting] = {}
        self._running: dict[int, _Running] = {}
        self._order = 0
        self._refused_share = 0.0

    @property
    def running(self) -> int:
        """Requests at the back end."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests waiting."""
        return len(self._queue)

    def set_slots(self, slots: int) -> None:
        """Take a changed declaration."""
        self._slots = slots
        self._concurrency.set_slots(slots)

    def arrive(
        self, token: int, context: CallContext, now: float, floor: float = 0.0
    ) -> list[GateEffect]:
        """Take a new request. ``token`` is unique among those not finished.

        Parameters
        ----------
        floor
            Rank below which calls that the request makes would be refused.
        """
        rank = rank_of(context)
        if rank < floor and not context.is_admitted:
            return [self._refusal(token, RefusalReason.OVERLOAD)]
        self._threshold.on_arrival(rank, context.admitted_share, context.announced_calls)
        if not self._queue and len(self._running) < self._concurrency.limit:
            self._begin(token, rank, now)
            return [Start(token)]
        if rank < self._threshold.value and not context.is_admitted:
            # A running session was admitted as a whole; its requests wait by their rank.
            return [self._refusal(token, RefusalReason.OVERLOAD)]
        return self._enqueue(token, self._waiting_for(token, rank, context, now), now)

    def finish(self, token: int, result: CallResult, now: float) -> list[GateEffect]:
        """Take the end of a started request."""
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
        waiting = self._waiting.pop(token, None)
        if waiting is not None:
            self._remove(waiting)
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
        """Return what callers are told; ``paths`` are the thresholds met further down."""
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
        self._refused_share -= OVERLOAD_WEIGHT * self._refused_share
        self._running[token] = _Running(now, rank, len(self._running) + 1)

    def _waiting_for(self, token: int, rank: int, context: CallContext, now: float) -> _Waiting:
        """Return the place in the queue of a request that the threshold admits.

        With a threshold by demand it admits the same part of each kind of request, so what it let
        through waits alike: a request that comes here first isn't put behind the calls of its
        class, which the threshold let through further up.
        """
        self._order += 1
        return _Waiting(
            rank=rank_once_admitted(rank) if self._queues_alike else rank,
            admission_rank=rank,
            order=self._order,
            token=token,
            deadline=now + context.remaining_seconds,
            arrived=now,
            may_be_shed=not context.is_admitted,
        )

    def _enqueue(self, token: int, waiting: _Waiting, now: float) -> list[GateEffect]:
        key = (waiting.rank, -waiting.order, waiting)
        ahead = len(self._queue) - bisect_left(self._queue, key)
        wait = (ahead + 1) * self._seconds_per_finish()
        if now + wait + self._concurrency.mean_latency > waiting.deadline:
            return [self._refusal(token, RefusalReason.DEADLINE)]
        effects: list[GateEffect] = []
        if len(self._queue) >= self._slots * QUEUE_PER_SLOT:
            place = self._gives_way_to(waiting)
            if place is None:
                return [self._refusal(token, RefusalReason.QUEUE_FULL)]
            dropped = self._queue.pop(place)[2]
            del self._waiting[dropped.token]
            effects.append(self._refusal(dropped.token, RefusalReason.QUEUE_FULL))
        insort(self._queue, key)
        self._waiting[token] = waiting
        effects.extend(self._fill(now))
        return effects

    def _gives_way_to(self, arrived: _Waiting) -> int | None:
        """Return the place in a full queue of what gives way, or None: the new request does.

        Of requests outside sessions the lowest rank gives way, to any request of a running session.
        Where only sessions wait, the lowest rank does.
        """
        for place, key in enumerate(self._queue):
            if key[2].may_be_shed:
                gives_way = not arrived.may_be_shed or key[0] < arrived.rank
                return place if gives_way else None
        return 0 if self._queue[0][0] < arrived.rank else None

    def _fill(self, now: float) -> list[GateEffect]:
        effects: list[GateEffect] = []
        queue = self._queue
        limit = self._concurrency.limit
        while queue and len(self._running) < limit:
            waiting = queue.pop()[2]
            del self._waiting[waiting.token]
            if now + self._concurrency.mean_latency > waiting.deadline:
                effects.append(self._refusal(waiting.token, RefusalReason.DEADLINE))
                continue
            self._begin(waiting.token, waiting.rank, now)
            effects.append(Start(waiting.token))
        self._threshold.on_queue(len(self._queue))
        return effects

    def _expire(self, now: float) -> list[GateEffect]:
        per_finish = self._seconds_per_finish()
        finish = now + self._concurrency.mean_latency
        kept: list[tuple[int, int, _Waiting]] = []
        effects: list[GateEffect] = []
        for key in reversed(self._queue):
            waiting = key[2]
            if finish + (len(kept) + 1) * per_finish > waiting.deadline:
                del self._waiting[waiting.token]
                effects.append(self._refusal(waiting.token, RefusalReason.DEADLINE))
            else:
                kept.append(key)
        if effects:
            kept.reverse()
            self._queue = kept
            self._threshold.on_queue(len(self._queue))
        return effects

    def _shed(self) -> list[GateEffect]:
        """Refuse what waits below the threshold, but keep enough to fill the slots."""
        may_drop = len(self._queue) - max(1, self._concurrency.limit // RESERVE_DIVISOR)
        threshold = self._threshold.value
        if may_drop <= 0 or not threshold:
            return []
        kept: list[tuple[int, int, _Waiting]] = []
        effects: list[GateEffect] = []
        for key in self._queue:
            waiting = key[2]
            is_shed = waiting.may_be_shed and waiting.admission_rank < threshold
            if len(effects) < may_drop and is_shed:
                del self._waiting[waiting.token]
                effects.append(self._refusal(waiting.token, RefusalReason.OVERLOAD))
            else:
                kept.append(key)
        self._queue = kept
        self._threshold.on_queue(len(self._queue))
        return effects

    def _remove(self, waiting: _Waiting) -> None:
        index = bisect_left(self._queue, (waiting.rank, -waiting.order))
        self._queue.pop(index)

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

    def _refusal(self, token: int, reason: RefusalReason) -> Refuse:
        self._refused_share += OVERLOAD_WEIGHT * (1.0 - self._refused_share)
        admitted_share = max(0.02, 1.0 - self._refused_share)
        overload = self._refused_share / admitted_share
        return Refuse(token, reason, retry_after(overload, self._rng))
