"""Call trees against a real gate, with outdated thresholds at the edge and delayed calls."""

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
class CallTree:
    """Sizes of each request's consecutive groups of parallel calls, and the back end's capacity.

    ``delay_seconds`` is the mean time from admission to the first call.
    """

    slots: int
    calls: tuple[int, ...]
    delay_seconds: float

    @property
    def capacity(self) -> float:
        """Calls per second."""
        return self.slots / WORK_SECONDS


FAN_OUT = CallTree(slots=87, calls=(5, 5), delay_seconds=0.25)
CHAIN = CallTree(slots=18, calls=(1, 1, 1, 1), delay_seconds=0.25)
LATE_CHAIN = CallTree(slots=18, calls=(1, 1, 1, 1), delay_seconds=0.6)


@dataclass
class RootRequest:
    """An admitted request. ``unannounced`` is the number of calls it has not announced yet."""

    context: CallContext
    groups: list[int]
    unannounced: int = 0
    pending_calls: int = 0
    has_failed: bool = False


class CallTreeSimulation:
    """Runs call trees against one gate in simulated time."""

    def __init__(self, seed: int, tree: CallTree = FAN_OUT) -> None:
        self._tree = tree
        self.counts: Counter[str] = Counter()
        self._rng = random.Random(seed)
        self._gate = Gate(tree.slots, self._rng, 0.0, threshold_rule=ThresholdRule.BY_DEMAND)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._tokens = itertools.count(1)
        self._calls: dict[int, RootRequest] = {}
        self._threshold = 0
        self._after(0.0, self._tick)
        self._after(0.0, self._report)

    def run(self, seconds: float, load: float, critical_load: float = 0.0) -> None:
        """Offer ``load`` times the capacity for ``seconds``, plus critical requests."""
        end = self._now + seconds
        roots_per_second = self._tree.capacity / sum(self._tree.calls)
        self._after(0.0, self._offer, Importance.NORMAL, load * roots_per_second, end)
        if critical_load:
            self._after(
                0.0, self._offer, Importance.CRITICAL, critical_load * roots_per_second, end
            )
        while self._events[0][0] < end:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _after(self, seconds: float, action: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (self._now + seconds, next(self._order), action, arguments))

    def _with_jitter(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.5, 1.5)

    def _tick(self) -> None:
        self._apply(self._gate.tick(self._now))
        self._after(TICK_SECONDS, self._tick)

    def _report(self) -> None:
        self._after(
            REPORT_SECONDS, self._receive_report, self._gate.load_report(self._now).threshold
        )
        self._after(0.01, self._report)

    def _receive_report(self, threshold: int) -> None:
        self._threshold = threshold

    def _offer(self, importance: Importance, rate: float, end: float) -> None:
        lowest = lowest_rank_of(importance)
        above = max(0, self._threshold - lowest)
        # The last report at the edge may have decayed in part or completely.
        decayed = lowest + above * self._rng.choice((0.0, 0.5, 1.0))
        position = self._rng.randrange(POSITIONS)
        if lowest + position < max(decayed, self._threshold):
            self.counts["refused"] += 1
        else:
            fraction = admitted_fraction(importance, decayed)
            context = CallContext(
                "r", importance, 1.0, position=position, admitted_fraction=fraction
            )
            calls = self._tree.calls
            root = RootRequest(
                with_admitted_fraction(context, self._threshold), list(calls), sum(calls)
            )
            self._after(self._with_jitter(self._tree.delay_seconds), self._next_group, root)
        pause = self._rng.expovariate(rate)
        if self._now + pause < end:
            self._after(pause, self._offer, importance, rate, end)

    def _next_group(self, root: RootRequest) -> None:
        if not root.groups:
            self._count(root, "answered")
            return
        root.pending_calls = root.groups.pop(0)
        for _ in range(root.pending_calls):
            token = next(self._tokens)
            self._calls[token] = root
            context = CallContext(
                "r",
                root.context.importance,
                CALL_SECONDS,
                position=root.context.position,
                is_call=True,
                admitted_fraction=root.context.admitted_fraction,
                announced_calls=root.unannounced,
            )
            root.unannounced = 0
            self._apply(self._gate.arrive(token, context, self._now))

    def _apply(self, effects: list[GateEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Start):
                self._after(self._with_jitter(WORK_SECONDS), self._finish, effect.token)
                continue
            root = self._calls.pop(effect.token)
            if not root.has_failed:
                self._count(root, "failed")
            root.has_failed = True

    def _count(self, root: RootRequest, outcome: str) -> None:
        is_critical = root.context.importance is Importance.CRITICAL
        self.counts[f"critical {outcome}" if is_critical else outcome] += 1

    def _finish(self, token: int) -> None:
        root = self._calls.pop(token)
        self._apply(self._gate.finish(token, CallResult.OK, self._now))
        root.pending_calls -= 1
        if root.pending_calls == 0 and not root.has_failed:
            self._after(self._with_jitter(0.4 * self._tree.delay_seconds), self._next_group, root)


@pytest.mark.parametrize("load", [1.5, 2.0, 3.0])
def test_admitted_requests_rarely_fail(load: float) -> None:
    simulation = CallTreeSimulation(seed=3)
    simulation.run(3.0, load)
    simulation.counts.clear()
    simulation.run(12.0, load)
    admitted = simulation.counts["answered"] + simulation.counts["failed"]
    assert simulation.counts["failed"] < 0.04 * admitted
    assert simulation.counts["answered"] * sum(FAN_OUT.calls) > 0.9 * 12.0 * FAN_OUT.capacity


@pytest.mark.parametrize("load", [1.3, 2.0, 3.0])
@pytest.mark.parametrize("tree", [CHAIN, LATE_CHAIN], ids=["chain", "late chain"])
def test_aborted_call_chains_do_not_hide_demand(tree: CallTree, load: float) -> None:
    simulation = CallTreeSimulation(seed=3, tree=tree)
    simulation.run(3.0, load)
    simulation.counts.clear()
    simulation.run(16.0, load)
    admitted = simulation.counts["answered"] + simulation.counts["failed"]
    assert simulation.counts["failed"] < 0.05 * admitted
    assert simulation.counts["answered"] * sum(tree.calls) > 0.9 * 16.0 * tree.capacity


def test_nothing_is_refused_below_capacity() -> None:
    simulation = CallTreeSimulation(seed=4)
    simulation.run(10.0, 0.75)
    assert simulation.counts["refused"] == 0
    assert simulation.counts["failed"] == 0


@pytest.mark.parametrize("tree", [CHAIN, LATE_CHAIN], ids=["chain", "late chain"])
def test_critical_requests_are_not_affected_by_overload_of_others(
    tree: CallTree,
) -> None:
    simulation = CallTreeSimulation(seed=3, tree=tree)
    simulation.run(4.0, load=1.3, critical_load=0.5)
    simulation.counts.clear()
    simulation.run(12.0, load=1.3, critical_load=0.5)
    assert simulation.counts["critical answered"] > 0
    assert simulation.counts["critical failed"] == 0
    answered = simulation.counts["answered"] + simulation.counts["critical answered"]
    assert answered * sum(tree.calls) > 0.9 * 12.0 * tree.capacity
