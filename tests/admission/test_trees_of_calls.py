"""Requests that make calls, admitted at an edge by an old threshold and beside their back end by a
fresh one; the calls meet a real gate, late."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest

from finchshed.admission.effects import GateEffect, Start
from finchshed.admission.gate import Gate
from finchshed.admission.rank import (
    POSITIONS,
    admitted_fraction,
    lowest_rank_of,
    with_admitted_fraction,
)
from finchshed.admission.threshold_rule import ThresholdRule
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.results import CallResult

WORK_SECONDS = 0.03
CALL_SECONDS = 0.7
REPORT_SECONDS = 0.05
TICK_SECONDS = 0.02


@dataclass(frozen=True)
class Shape:
    """What requests ask of the back end, and how many slots that has.

    ``calls`` are made one group after the other; the request fails with the first that fails.
    ``delay_seconds`` lie between a request's admission and its first call, on the mean.
    """

    slots: int
    calls: tuple[int, ...]
    delay_seconds: float

    @property
    def capacity(self) -> float:
        """Calls a second."""
        return self.slots / WORK_SECONDS


WIDE = Shape(slots=87, calls=(5, 5), delay_seconds=0.25)
CHAIN = Shape(slots=18, calls=(1, 1, 1, 1), delay_seconds=0.25)
LATE_CHAIN = Shape(slots=18, calls=(1, 1, 1, 1), delay_seconds=0.6)


@dataclass
class Root:
    """An admitted request. ``announced`` are the calls it has not announced yet."""

    context: CallContext
    groups: list[int]
    announced: int = 0
    waits_for: int = 0
    is_over: bool = False


class Trees:
    """Runs requests against one gate in simulated time."""

    def __init__(self, seed: int, shape: Shape = WIDE) -> None:
        self._shape = shape
        self.counts: Counter[str] = Counter()
        self._rng = random.Random(seed)
        self._gate = Gate(shape.slots, self._rng, 0.0, threshold_rule=ThresholdRule.BY_DEMAND)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._tokens = itertools.count(1)
        self._calls: dict[int, Root] = {}
        self._threshold = 0
        self._after(0.0, self._tick)
        self._after(0.0, self._report)

    def run(self, seconds: float, load: float, critical_load: float = 0.0) -> None:
        """Offer ``load`` times the capacity for ``seconds``, and critical requests besides.

        Critical ones are counted as "critical answered" and "critical failed".
        """
        end = self._now + seconds
        whole = self._shape.capacity / sum(self._shape.calls)
        self._after(0.0, self._offer, Importance.NORMAL, load * whole, end)
        if critical_load:
            self._after(0.0, self._offer, Importance.CRITICAL, critical_load * whole, end)
        while self._events[0][0] < end:
            self._now, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)

    def _after(self, seconds: float, act: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (self._now + seconds, next(self._order), act, arguments))

    def _varied(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.5, 1.5)

    def _tick(self) -> None:
        self._apply(self._gate.tick(self._now))
        self._after(TICK_SECONDS, self._tick)

    def _report(self) -> None:
        self._after(REPORT_SECONDS, self._learn, self._gate.load_report(self._now).threshold)
        self._after(0.01, self._report)

    def _learn(self, threshold: int) -> None:
        self._threshold = threshold

    def _offer(self, importance: Importance, rate: float, end: float) -> None:
        floor = lowest_rank_of(importance)
        above = max(0, self._threshold - floor)
        # What an edge has last heard may have faded in part or whole.
        old = floor + above * self._rng.choice((0.0, 0.5, 1.0))
        position = self._rng.randrange(POSITIONS)
        if floor + position < max(old, self._threshold):
            self.counts["refused"] += 1
        else:
            share = admitted_fraction(importance, old)
            told = CallContext("r", importance, 1.0, position=position, admitted_fraction=share)
            calls = self._shape.calls
            root = Root(with_admitted_fraction(told, self._threshold), list(calls), sum(calls))
            self._after(self._varied(self._shape.delay_seconds), self._go_on, root)
        pause = self._rng.expovariate(rate)
        if self._now + pause < end:
            self._after(pause, self._offer, importance, rate, end)

    def _go_on(self, root: Root) -> None:
        if not root.groups:
            self._count(root, "answered")
            return
        root.waits_for = root.groups.pop(0)
        for _ in range(root.waits_for):
            token = next(self._tokens)
            self._calls[token] = root
            context = CallContext(
                "r",
                root.context.importance,
                CALL_SECONDS,
                position=root.context.position,
                is_call=True,
                admitted_fraction=root.context.admitted_fraction,
                announced_calls=root.announced,
            )
            root.announced = 0
            self._apply(self._gate.arrive(token, context, self._now))

    def _apply(self, effects: list[GateEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Start):
                self._after(self._varied(WORK_SECONDS), self._finish, effect.token)
                continue
            root = self._calls.pop(effect.token)
            if not root.is_over:
                self._count(root, "failed")
            root.is_over = True

    def _count(self, root: Root, end: str) -> None:
        is_critical = root.context.importance is Importance.CRITICAL
        self.counts[f"critical {end}" if is_critical else end] += 1

    def _finish(self, token: int) -> None:
        root = self._calls.pop(token)
        self._apply(self._gate.finish(token, CallResult.OK, self._now))
        root.waits_for -= 1
        if root.waits_for == 0 and not root.is_over:
            self._after(self._varied(0.4 * self._shape.delay_seconds), self._go_on, root)


@pytest.mark.parametrize("load", [1.5, 2.0, 3.0])
def test_what_was_admitted_is_rarely_failed_on_its_way(load: float) -> None:
    trees = Trees(seed=3)
    trees.run(3.0, load)
    trees.counts.clear()
    trees.run(12.0, load)
    admitted = trees.counts["answered"] + trees.counts["failed"]
    assert trees.counts["failed"] < 0.04 * admitted
    assert trees.counts["answered"] * sum(WIDE.calls) > 0.9 * 12.0 * WIDE.capacity


@pytest.mark.parametrize("load", [1.3, 2.0, 3.0])
@pytest.mark.parametrize("shape", [CHAIN, LATE_CHAIN], ids=["chain", "late chain"])
def test_chains_of_calls_that_break_off_hide_no_demand(shape: Shape, load: float) -> None:
    trees = Trees(seed=3, shape=shape)
    trees.run(3.0, load)
    trees.counts.clear()
    trees.run(16.0, load)
    admitted = trees.counts["answered"] + trees.counts["failed"]
    assert trees.counts["failed"] < 0.05 * admitted
    assert trees.counts["answered"] * sum(shape.calls) > 0.9 * 16.0 * shape.capacity


def test_nothing_is_refused_below_the_capacity() -> None:
    trees = Trees(seed=4)
    trees.run(10.0, 0.75)
    assert trees.counts["refused"] == 0
    assert trees.counts["failed"] == 0


@pytest.mark.parametrize("shape", [CHAIN, LATE_CHAIN], ids=["chain", "late chain"])
def test_critical_requests_are_served_whole_beside_an_overload_of_others(shape: Shape) -> None:
    trees = Trees(seed=3, shape=shape)
    trees.run(4.0, load=1.3, critical_load=0.5)
    trees.counts.clear()
    trees.run(12.0, load=1.3, critical_load=0.5)
    assert trees.counts["critical answered"] > 0
    assert trees.counts["critical failed"] == 0
    answered = trees.counts["answered"] + trees.counts["critical answered"]
    assert answered * sum(shape.calls) > 0.9 * 12.0 * shape.capacity
