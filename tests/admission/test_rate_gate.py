"""Starts at a back end that names a rate limit."""

import random

from finchshed.admission.effects import GateEffect, Refuse, Start
from finchshed.admission.gate import Gate
from finchshed.admission.rate_gate import (
    MAX_TURN_WAIT_SECONDS,
    NO_RANK,
    PROBE_INTERVAL_SECONDS,
)
from finchshed.admission.threshold_rule import ThresholdRule
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import RefusalReason
from finchshed.common.results import CallResult

STEP_SECONDS = 0.02
WORK_SECONDS = 0.1
WINDOW_SECONDS = 4.0


def make_gate(rule: ThresholdRule = ThresholdRule.BY_DEMAND) -> Gate:
    return Gate(40, random.Random(3), 0.0, threshold_rule=rule)


def context(importance: Importance = Importance.NORMAL, root: str = "r") -> CallContext:
    return CallContext(root=root, importance=importance, remaining_seconds=5.0)


class Load:
    """Requests of mixed importance at a constant rate, by virtual time."""

    def __init__(self, gate: Gate, rate: float, limit: float | None) -> None:
        self.gate = gate
        self.rate = rate
        self.starts: list[tuple[float, Importance]] = []
        self.refusals: list[tuple[RefusalReason, float]] = []
        self.arrived: dict[int, tuple[float, Importance]] = {}
        self._ends: list[tuple[float, int]] = []
        self._limit = limit

    def run(self, seconds: float, importances: tuple[Importance, ...]) -> None:
        rng = random.Random(7)
        number = 0
        self._apply(self.gate.set_rate_limit(self._limit, 0.0), 0.0)
        for step in range(int(seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            while self._ends and self._ends[0][0] <= now:
                token = self._ends.pop(0)[1]
                self._apply(self.gate.finish(token, CallResult.OK, now), now)
            while number < now * self.rate:
                number += 1
                importance = rng.choice(importances)
                self.arrived[number] = (now, importance)
                self._apply(self.gate.arrive(number, context(importance, f"r{number}"), now), now)
            self._apply(self.gate.tick(now), now)

    def _apply(self, effects: list[GateEffect], now: float) -> None:
        for effect in effects:
            arrived_at, importance = self.arrived[effect.token]
            if isinstance(effect, Start):
                self.starts.append((now, importance))
                self._ends.append((now + WORK_SECONDS, effect.token))
            else:
                self.refusals.append((effect.reason, now - arrived_at))

    def most_in_window(self) -> int:
        times = [at for at, _ in self.starts]
        return max(sum(end - WINDOW_SECONDS < at <= end for at in times) for end in times)


def test_starts_keep_to_the_rate_and_use_it() -> None:
    for limit in (0.0, 0.5, 3.4, 5.7, 20.0):
        load = Load(make_gate(), 60.0, limit)
        load.run(20.0, (Importance.NORMAL,))
        assert load.most_in_window() <= 1.5 * limit * WINDOW_SECONDS + 5.0
        assert len(load.starts) >= 0.9 * limit * 20.0


def test_important_requests_go_first() -> None:
    load = Load(make_gate(), 60.0, 5.0)
    load.run(20.0, (Importance.SHEDDABLE, Importance.NORMAL, Importance.CRITICAL))
    critical = sum(importance is Importance.CRITICAL for _, importance in load.starts)
    assert critical >= 0.9 * len(load.starts)


def test_refusals_come_at_once_or_after_a_short_wait() -> None:
    load = Load(make_gate(), 60.0, 5.0)
    load.run(10.0, (Importance.SHEDDABLE, Importance.CRITICAL))
    assert {reason for reason, _ in load.refusals} == {RefusalReason.RATE_LIMITED}
    times = sorted(seconds for _, seconds in load.refusals)
    assert times[len(times) // 2] == 0.0
    assert times[-1] <= MAX_TURN_WAIT_SECONDS + STEP_SECONDS


def test_rate_limit_is_not_taken_for_overload() -> None:
    for rule in ThresholdRule:
        gate = make_gate(rule)
        load = Load(gate, 60.0, 5.0)
        load.run(10.0, (Importance.SHEDDABLE, Importance.NORMAL))
        report = gate.load_report(10.0)
        assert report.threshold == 0
        assert report.limit == 40


def test_limit_applies_to_requests_that_are_queued_already() -> None:
    gate = Gate(1, random.Random(3), 0.0)
    gate.arrive(1, context(), 0.0)
    for token in range(2, 8):
        assert gate.arrive(token, context(root=f"r{token}"), 0.0) == []
    effects = gate.set_rate_limit(4.0, 0.0)
    refused = [effect for effect in effects if isinstance(effect, Refuse)]
    assert len(refused) >= 4
    assert {effect.reason for effect in refused} == {RefusalReason.RATE_LIMITED}


def test_end_of_the_limit_starts_what_waits() -> None:
    gate = make_gate()
    gate.set_rate_limit(4.0, 0.0)
    assert gate.arrive(1, context(), 0.0) == [Start(1)]
    assert gate.arrive(2, context(), 0.05) == []
    assert gate.set_rate_limit(None, 0.1) == [Start(2)]
    assert gate.load_report(0.1).rate is None


def test_report_tells_callers_when_there_is_room_and_for_whom() -> None:
    gate = make_gate()
    gate.set_rate_limit(2.0, 0.0)
    report = gate.load_report(0.0).rate
    assert report is not None
    assert (report.limit, report.wait) == (2.0, 0.0)
    gate.arrive(1, context(), 0.0)
    gate.arrive(2, context(), 0.0)
    report = gate.load_report(0.0).rate
    assert report is not None
    assert report.wait > 0.0
    assert report.threshold == NO_RANK
    gate.arrive(3, context(), 0.3)
    report = gate.load_report(0.3).rate
    assert report is not None
    assert 0 < report.threshold < NO_RANK


def test_time_without_a_clock_step_gives_no_burst() -> None:
    """A frozen process finds its turns bounded when it continues."""
    gate = make_gate()
    gate.set_rate_limit(5.0, 0.0)
    gate.arrive(0, context(), 0.0)
    started = 0
    for token in range(1, 40):
        effects = gate.arrive(token, context(root=f"r{token}"), 30.0)
        started += sum(isinstance(effect, Start) for effect in effects)
    assert started <= 3


def test_limit_near_zero_lets_a_request_through_from_time_to_time() -> None:
    load = Load(make_gate(), 20.0, 0.0)
    load.run(4.0 * PROBE_INTERVAL_SECONDS, (Importance.NORMAL,))
    assert 3 <= len(load.starts) <= 6


def test_wait_for_a_turn_is_not_estimated_by_the_time_between_turns() -> None:
    gate = make_gate()
    gate.set_rate_limit(0.5, 0.0)
    assert gate.arrive(1, context(), 0.0) == [Start(1)]
    gate.finish(1, CallResult.OK, 0.1)
    short = CallContext(root="r2", importance=Importance.NORMAL, remaining_seconds=0.6)
    assert gate.arrive(2, short, 1.8) == []
    assert gate.load_report(1.8).queue_delay < 0.25
    assert gate.tick(2.01) == [Start(2)]
