"""Demand-based admission threshold, with a delay between admission and arrival."""

import heapq
import random
from dataclasses import dataclass, field

from finchshed.admission.demand_threshold import DemandThreshold
from finchshed.admission.rank import POSITIONS, admitted_fraction, lowest_rank_of
from finchshed.common.importance import Importance

STEP_SECONDS = 0.01
WORK_SECONDS = 0.03
SLOTS = 30
CAPACITY = SLOTS / WORK_SECONDS


@dataclass
class DelayedBackend:
    """A back end that calls reach ``delay`` seconds after its threshold admitted their requests."""

    delay: float
    threshold: DemandThreshold = field(default_factory=lambda: DemandThreshold(0.0))
    now: float = 0.0
    admitted: dict[Importance, int] = field(default_factory=dict)
    longest_queue: int = 0
    _rng: random.Random = field(default_factory=lambda: random.Random(5))
    _in_transit: list[tuple[float, int, float]] = field(default_factory=list)
    _running: list[tuple[float, int]] = field(default_factory=list)
    _queue: list[int] = field(default_factory=list)

    def run(self, seconds: float, calls_per_second: dict[Importance, float]) -> None:
        self.admitted = dict.fromkeys(Importance, 0)
        self.longest_queue = 0
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for importance, rate in calls_per_second.items():
                self._offer(importance, rate * STEP_SECONDS)
            self._serve()

    def _offer(self, importance: Importance, mean: float) -> None:
        count = int(mean) + (self._rng.random() < mean % 1.0)
        for _ in range(count):
            rank = lowest_rank_of(importance) + self._rng.randrange(POSITIONS)
            if rank >= self.threshold.value:
                self.admitted[importance] += 1
                fraction = admitted_fraction(importance, self.threshold.value)
                heapq.heappush(self._in_transit, (self.now + self.delay, rank, fraction))

    def _serve(self) -> None:
        while self._in_transit and self._in_transit[0][0] <= self.now:
            _, rank, fraction = heapq.heappop(self._in_transit)
            self.threshold.on_arrival(rank, fraction)
            self._queue.append(rank)
        while self._running and self._running[0][0] <= self.now + STEP_SECONDS / 2:
            self.threshold.on_finish(heapq.heappop(self._running)[1], WORK_SECONDS)
        while self._queue and len(self._running) < SLOTS:
            end = self.now + WORK_SECONDS
            heapq.heappush(self._running, (end, self._queue.pop(0)))
        self.longest_queue = max(self.longest_queue, len(self._queue))
        self.threshold.step(
            self.now,
            running=len(self._running),
            queued=len(self._queue),
            limit=SLOTS,
            mean_seconds=WORK_SECONDS,
        )


def test_nothing_is_refused_without_overload() -> None:
    backend = DelayedBackend(delay=0.3)
    backend.run(20.0, {Importance.NORMAL: 0.75 * CAPACITY})
    assert backend.threshold.value == 0


def test_delay_neither_leaves_slots_idle_nor_grows_the_queue() -> None:
    for delay in (0.0, 0.3, 0.6):
        backend = DelayedBackend(delay)
        backend.run(8.0, {Importance.NORMAL: 2.0 * CAPACITY})
        backend.run(10.0, {Importance.NORMAL: 2.0 * CAPACITY})
        served = backend.admitted[Importance.NORMAL] / 10.0
        assert 0.85 * CAPACITY < served < 1.0 * CAPACITY, delay
        assert backend.longest_queue < 0.4 * CAPACITY, delay


def test_least_important_class_is_shed_first() -> None:
    load = {
        Importance.CRITICAL: 0.3 * CAPACITY,
        Importance.HIGH: 0.3 * CAPACITY,
        Importance.NORMAL: 1.2 * CAPACITY,
    }
    backend = DelayedBackend(delay=0.3)
    backend.run(4.0, load)
    backend.run(10.0, load)
    assert backend.admitted[Importance.CRITICAL] >= 0.999 * 3.0 * CAPACITY
    assert backend.admitted[Importance.HIGH] >= 0.97 * 3.0 * CAPACITY
    fraction = backend.admitted[Importance.NORMAL] / (12.0 * CAPACITY)
    assert 0.15 < fraction < 0.35


def test_everything_is_admitted_within_seconds_after_a_surge() -> None:
    backend = DelayedBackend(delay=0.3)
    backend.run(10.0, {Importance.NORMAL: 2.0 * CAPACITY})
    backend.run(3.0, {Importance.NORMAL: 0.6 * CAPACITY})
    backend.run(2.0, {Importance.NORMAL: 0.6 * CAPACITY})
    assert backend.admitted[Importance.NORMAL] >= 0.95 * 1.2 * CAPACITY


def test_demand_estimate_does_not_depend_on_the_admitted_fraction() -> None:
    backend = DelayedBackend(delay=0.3)
    backend.run(12.0, {Importance.NORMAL: 2.0 * CAPACITY})
    demand = backend.threshold.demand_of(Importance.NORMAL)
    assert 1.6 * SLOTS < demand < 2.4 * SLOTS
