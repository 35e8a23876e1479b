"""Admission control for one back end: starts, queues or refuses each request.

A request whose predicted finish lies past its deadline is refused immediately, and so is the lowest
rank when the queue is full. While a slot is free, queued requests are started whatever the
threshold. If the back end names a rate limit, a request also needs its turn (see
:mod:`finchshed.admission.rate_gate`). If the back end reports a slowdown, service times are learned
without it, and expected waits are multiplied by the present one. Refusal reasons: ``overload``,
``queue_full``, ``deadline``, ``rate_limited``.

The caller passes the time as ``now`` in monotonic seconds, carries out the returned effects in
order, and calls :meth:`Gate.tick` periodically while requests are queued.
"""

import math
import random
from collections.abc import Iterable, Mapping

import msgspec

from finchshed.admission.caller_shares import CallerShares
from finchshed.admission.caller_thresholds import (
    NO_CALLER_THRESHOLDS,
    NO_PATH_CALLERS,
    CallerThresholds,
)
from finchshed.admission.demand_threshold import DemandThreshold
from finchshed.admission.effects import GateEffect, Refuse, Start
from finchshed.admission.load_report import LoadReport
from finchshed.admission.path_thresholds import NO_PATH_THRESHOLDS, PathThreshold
from finchshed.admission.queue_threshold import QueueThreshold
from finchshed.admission.rank import admitted_rank, rank_of
from finchshed.admission.rate_gate import RateGate
from finchshed.admission.request_queue import QueuedRequest, RequestQueue
from finchshed.admission.threshold_rule import Threshold, ThresholdRule
from finchshed.admission.waiting import sheddable_until
from finchshed.common.context import CallContext
from finchshed.common.moving_average import moving_average
from finchshed.common.outcomes import RefusalReason
from finchshed.common.results import CallResult
from finchshed.limit.backend_load import BackendLoadRecord
from finchshed.limit.concurrency import ConcurrencyLimit
from finchshed.retry.policy import retry_after

QUEUE_PER_SLOT = 8
"""Maximum queue length per declared slot."""

RESERVE_DIVISOR = 4
"""At least the concurrency limit divided by this stays queued when requests below the threshold are
shed, so that no slot runs idle."""

REFUSAL_WEIGHT = 0.02
"""Weight of one decision in the measured fraction of refusals."""

MIN_ADMITTED_FRACTION = 0.02
"""Lower bound of the admitted fraction in the retry-after computation, to avoid division by 0."""


class _Running(msgspec.Struct, gc=False):
    """A started request. ``running`` is the concurrency at its start, itself included."""

    started: float
    rank: int
    running: int
    caller: str


class Gate:
    """Admission to one back end.

    Parameters
    ----------
    slots
        Declared number of requests the back end runs concurrently.
    rng
        Source of the jitter in retry-after times.
    now
        Time of creation, seconds.
    threshold_rule
        Rule by which the admission threshold is computed.

    Attributes
    ----------
    load
        Load that the back end reports.
    """

    def __init__(
        self,
        slots: int,
        rng: random.Random,
        now: float,
        *,
        threshold_rule: ThresholdRule = ThresholdRule.BY_QUEUE,
    ) -> None:
        self.load = BackendLoadRecord()
        self._slots = slots
        self._rng = rng
        self._concurrency = ConcurrencyLimit(slots)
        self._rule = threshold_rule
        self._threshold = _create_threshold(threshold_rule, now)
        self._queue = RequestQueue()
        self._rate = RateGate(self._queue)
        self._shares: CallerShares | None = None
        self._running: dict[int, _Running] = {}
        self._order = 0
        self._refused_fraction = 0.0
        self._bounds_waits = False

    @property
    def slots(self) -> int:
        """Declared number of requests the back end runs concurrently."""
        return self._slots

    @property
    def running(self) -> int:
        """Number of requests at the back end."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def shares(self) -> CallerShares | None:
        """Shares of the callers; None unless they share capacity by max-min fairness."""
        return self._shares

    def set_fair_shares(self, weights: Mapping[str, float] | None, now: float) -> None:
        """Let callers share capacity by these weights (1 for others), or end that (None).

        Without the demand rule there is no estimate to derive shares from, so nothing changes.
        """
        if not isinstance(self._threshold, DemandThreshold):
            return
        self._threshold.drains_backlog = weights is None
        if weights is None:
            self._shares = None
            self._queue.stop_observing()
        elif self._shares is not None:
            self._shares.weights = weights
        else:
            self._shares = CallerShares(now, weights)
            self._queue.observe(self._shares.on_queued, self._shares.on_left_queue)

    def set_slots(self, slots: int) -> None:
        """Apply a changed number of declared slots."""
        self._slots = slots
        self._concurrency.set_slots(slots)

    def start_run(self) -> None:
        """Return to the declared slots: what was learned held for an earlier run."""
        self._concurrency.reset()
        self.load.start_run()

    def set_rate_limit(self, requests_per_second: float | None, now: float) -> list[GateEffect]:
        """Apply the rate limit that the back end names, or its end (None)."""
        dropped = self._rate.set_limit(requests_per_second, now)
        effects = self._refuse_without_turn(dropped)
        return effects + self._start_queued(now)

    def arrive(
        self, token: int, context: CallContext, now: float, path_threshold: float = 0.0
    ) -> list[GateEffect]:
        """Start, queue or refuse a new request.

        Parameters
        ----------
        token
            Identifier of the request, unique among those that have not finished.
        path_threshold
            Rank below which the downstream calls of the request would be refused.
        """
        rank = rank_of(context)
        if rank < path_threshold and not context.is_admitted:
            return [self._refuse(token, RefusalReason.OVERLOAD)]
        request = self._queued_request(token, rank, context, now)
        dropped = self._rate.make_room(request, now)
        effects = [] if dropped is None else self._refuse_without_turn([dropped])
        if dropped is request:
            # Not counted as demand: other back ends may have room for it.
            return effects
        self._threshold.on_arrival(
            rank, context.admitted_fraction, context.announced_calls, returning=context.returning
        )
        if self._shares is not None:
            self._shares.on_arrival(context)
        if not self._queue and self._can_start(now):
            self._record_start(request, now)
            return [*effects, Start(token)]
        if rank < self._threshold_of(request) and not context.is_admitted:
            # Requests of an admitted session or call tree are queued regardless of the threshold.
            return [*effects, self._refuse_queued(request, RefusalReason.OVERLOAD)]
        return effects + self._enqueue(request, now)

    def finish(self, token: int, result: CallResult, now: float) -> list[GateEffect]:
        """Record the end of a started request and start queued ones."""
        running = self._running.pop(token, None)
        if running is not None:
            seconds = self.load.usual_seconds(running.started, now)
            self._concurrency.on_result(result, seconds, now, running.running)
            has_run = result is not CallResult.REFUSED
            if has_run:
                # Demand follows the speed of the back end, but not its short slow periods.
                seconds *= self.load.sustained_slowdown(now)
                self._threshold.on_finish(running.rank, seconds)
            if self._shares is not None:
                self._shares.on_finish(running.rank, running.caller, seconds if has_run else None)
        return self._start_queued(now)

    def cancel(self, token: int, now: float) -> list[GateEffect]:
        """Drop a request that its caller cancelled; a queued one gets no effect.

        A started one keeps its slot until :meth:`finish` reports that the back end ended it.
        """
        if self._queue.remove(token):
            self._threshold.on_queue(self._queued_for_slots())
        return self._start_queued(now)

    def tick(self, now: float) -> list[GateEffect]:
        """Refuse requests that can no longer finish in time, and update the threshold."""
        effects = self._refuse_late(now)
        effects.extend(self._start_queued(now))
        effects.extend(self._refuse_without_turn(self._rate.remove_overdue(now)))
        self._update_threshold(now)
        effects.extend(self._shed_below_threshold(now))
        effects.extend(self._refuse_beyond_bound(now))
        return effects

    def load_report(
        self,
        now: float,
        paths: Mapping[str, PathThreshold] = NO_PATH_THRESHOLDS,
        path_callers: Mapping[str, CallerThresholds] = NO_PATH_CALLERS,
    ) -> LoadReport:
        """Update the threshold and return the load report for callers.

        ``paths`` and ``path_callers`` hold the thresholds of downstream calls, by route.
        """
        self._update_threshold(now)
        queued = len(self._queue)
        shares = self._shares
        return LoadReport(
            threshold=self._threshold.value if shares is None else shares.limits.base_threshold,
            queue_delay=self._expected_wait(queued - 1, now) if queued else 0.0,
            in_flight=len(self._running) + queued,
            limit=self._warm_limit(now),
            paths=paths,
            rate=self._rate.report(now),
            slowdown=self.load.slowdown_for_callers(now),
            callers=NO_CALLER_THRESHOLDS if shares is None else shares.limits.thresholds,
            path_callers=path_callers,
        )

    def _can_start(self, now: float) -> bool:
        return len(self._running) < self._concurrency.limit and self._rate.has_turn(now)

    def _record_start(self, request: QueuedRequest, now: float) -> None:
        self._rate.use_turn(now)
        self._refused_fraction = moving_average(self._refused_fraction, 0.0, REFUSAL_WEIGHT)
        if self._shares is not None:
            self._shares.on_start(request)
        running = len(self._running) + 1
        self._running[request.token] = _Running(now, request.rank, running, request.caller)

    def _queued_request(
        self, token: int, rank: int, context: CallContext, now: float
    ) -> QueuedRequest:
        """Return the queue entry of an admitted request.

        With the demand rule, root requests and calls of one class have passed the same threshold,
        so root requests aren't queued behind calls.
        """
        self._order += 1
        is_by_demand = self._rule is ThresholdRule.BY_DEMAND
        request = QueuedRequest(
            rank=admitted_rank(rank) if is_by_demand else rank,
            admission_rank=rank,
            order=self._order,
            token=token,
            arrived=now,
            deadline=now + context.remaining_seconds,
            is_sheddable=not context.is_admitted,
            caller=context.caller,
            sheddable_until=sheddable_until(context, now),
        )
        if self._shares is not None:
            self._shares.admit(request, context)
        return request

    def _threshold_of(self, request: QueuedRequest) -> int:
        """Return the rank below which a request is refused."""
        if self._shares is None:
            return self._threshold.value
        return self._shares.threshold_of(request)

    def _enqueue(self, request: QueuedRequest, now: float) -> list[GateEffect]:
        wait = self._expected_wait(self._queue.count_ahead(request), now)
        if now + wait + self._mean_seconds(now) > request.deadline:
            return [self._refuse_queued(request, RefusalReason.DEADLINE)]
        effects: list[GateEffect] = []
        if len(self._queue) >= self._slots * QUEUE_PER_SLOT:
            dropped = self._queue.evict_for(request)
            if dropped is None:
                return [self._refuse_queued(request, RefusalReason.QUEUE_FULL)]
            effects.append(self._refuse_queued(dropped, RefusalReason.QUEUE_FULL))
        self._queue.add(request)
        self._bounds_waits = self._bounds_waits or request.sheddable_until < math.inf
        effects.extend(self._start_queued(now))
        effects.extend(self._refuse_beyond_bound(now))
        return effects

    def _start_queued(self, now: float) -> list[GateEffect]:
        """Start queued requests while a slot is free."""
        effects: list[GateEffect] = []
        while self._queue and self._can_start(now):
            request = self._queue.pop_highest()
            if now + self._mean_seconds(now) > request.deadline:
                effects.append(self._refuse_queued(request, RefusalReason.DEADLINE))
                continue
            self._record_start(request, now)
            effects.append(Start(request.token))
        self._threshold.on_queue(self._queued_for_slots())
        return effects

    def _queued_for_slots(self) -> int:
        """Return the number of requests that wait for a slot rather than for their turn."""
        if self._rate.limit is not None and len(self._running) < self._concurrency.limit:
            return 0
        return len(self._queue)

    def _refuse_late(self, now: float) -> list[GateEffect]:
        """Refuse requests that can't finish in time, given the number ahead of them."""
        finish = now + self._mean_seconds(now)
        late = self._queue.remove_late(finish, self._seconds_per_finish(now))
        if late:
            self._threshold.on_queue(self._queued_for_slots())
        return [self._refuse_queued(item, RefusalReason.DEADLINE) for item in late]

    def _refuse_without_turn(self, dropped: Iterable[QueuedRequest]) -> list[GateEffect]:
        return [self._refuse(request.token, RefusalReason.RATE_LIMITED) for request in dropped]

    def _refuse_beyond_bound(self, now: float) -> list[GateEffect]:
        """Refuse requests that would wait longer than the bound on their waiting time."""
        if not self._bounds_waits:
            return []
        beyond = self._queue.remove_beyond_bound(now, self._seconds_per_finish(now))
        if beyond:
            self._threshold.on_queue(self._queued_for_slots())
        return [self._refuse_queued(item, RefusalReason.QUEUE_FULL) for item in beyond]

    def _shed_below_threshold(self, now: float) -> list[GateEffect]:
        """Refuse queued requests below the threshold, but keep enough to fill the slots."""
        droppable = len(self._queue) - max(1, self._concurrency.limit // RESERVE_DIVISOR)
        if droppable <= 0 or not self._threshold.value:
            return []
        below = self._queue.remove_below(self._threshold_of, droppable, now)
        self._threshold.on_queue(self._queued_for_slots())
        return [self._refuse_queued(item, RefusalReason.OVERLOAD) for item in below]

    def _mean_seconds(self, now: float) -> float:
        """Return the mean time of a request at the present speed of the back end."""
        return self._concurrency.mean_latency * self.load.slowdown(now)

    def _seconds_per_finish(self, now: float) -> float:
        return self._mean_seconds(now) / self._concurrency.limit

    def _warm_limit(self, now: float) -> int:
        """Return the concurrency limit for callers, lowered while the back end is cold."""
        return max(1, int(self._concurrency.limit * self.load.warm_fraction(now)))

    def _expected_wait(self, ahead: int, now: float) -> float:
        """Return the time until a request with ``ahead`` others before it starts, seconds."""
        return max((ahead + 1) * self._seconds_per_finish(now), self._rate.wait(ahead, now))

    def _update_threshold(self, now: float) -> None:
        if self._concurrency.mean_latency <= 0.0:
            return
        self._threshold.step(
            now,
            running=len(self._running),
            queued=self._queued_for_slots(),
            limit=self._concurrency.limit,
            mean_seconds=self._mean_seconds(now),
        )
        if self._shares is not None and isinstance(self._threshold, DemandThreshold):
            self._shares.step(now, self._threshold.marginal_class)

    def _refuse_queued(self, request: QueuedRequest, reason: RefusalReason) -> Refuse:
        """Refuse a request that competes with others for the slots."""
        if self._shares is None:
            return self._refuse(request.token, reason)
        self._shares.on_refused(request)
        detail = self._shares.excess_of(request.admission_rank, request.caller)
        return self._refuse(request.token, reason, detail)

    def _refuse(self, token: int, reason: RefusalReason, detail: str = "") -> Refuse:
        """Record a refusal and return it, with a retry-after time that grows with the overload."""
        self._refused_fraction = moving_average(self._refused_fraction, 1.0, REFUSAL_WEIGHT)
        admitted = max(MIN_ADMITTED_FRACTION, 1.0 - self._refused_fraction)
        overload = self._refused_fraction / admitted
        return Refuse(token, reason, retry_after(overload, self._rng), detail)


def _create_threshold(rule: ThresholdRule, now: float) -> Threshold:
    if rule is ThresholdRule.BY_DEMAND:
        return DemandThreshold(now)
    return QueueThreshold(now)
