"""The gate: order of the queue, refusals and the threshold."""

import random

from finchshed.admission.effects import GateEffect, Refuse, Start
from finchshed.admission.gate import Gate
from finchshed.admission.threshold_rule import ThresholdRule
from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import RefusalReason
from finchshed.common.results import CallResult


def context(importance: Importance, root: str = "r", seconds: float = 10.0) -> CallContext:
    return CallContext(root=root, importance=importance, remaining_seconds=seconds)


def gate(slots: int = 1) -> Gate:
    return Gate(slots, random.Random(1), 0.0)


def test_higher_importance_starts_first() -> None:
    held = gate()
    assert held.arrive(1, context(Importance.NORMAL), 0.0) == [Start(1)]
    assert held.arrive(2, context(Importance.SHEDDABLE), 0.0) == []
    assert held.arrive(3, context(Importance.CRITICAL), 0.0) == []
    assert held.finish(1, CallResult.OK, 0.1) == [Start(3)]
    assert held.finish(3, CallResult.OK, 0.2) == [Start(2)]


def test_request_that_cannot_finish_in_time_is_refused_at_once() -> None:
    held = gate()
    held.arrive(1, context(Importance.NORMAL), 0.0)
    held.finish(1, CallResult.OK, 1.0)
    held.arrive(2, context(Importance.NORMAL), 1.0)
    effects = held.arrive(3, context(Importance.NORMAL, seconds=1.5), 1.0)
    assert isinstance(effects[0], Refuse)
    assert effects[0].reason is RefusalReason.DEADLINE
    assert effects[0].retry_after > 0.0


def test_full_queue_gives_up_its_lowest_rank() -> None:
    held = gate()
    held.arrive(0, context(Importance.NORMAL), 0.0)
    for token in range(1, 9):
        assert held.arrive(token, context(Importance.SHEDDABLE, f"r{token}"), 0.0) == []
    effects = held.arrive(9, context(Importance.CRITICAL), 0.0)
    assert [type(effect) for effect in effects] == [Refuse]
    assert effects[0].token != 9
    assert held.finish(0, CallResult.OK, 0.1) == [Start(9)]


def running_session(importance: Importance, root: str) -> CallContext:
    return CallContext(root, importance, 10.0, session=f"session of {root}")


def test_full_queue_drops_no_running_session_while_others_wait() -> None:
    held = gate()
    held.arrive(0, context(Importance.NORMAL), 0.0)
    held.arrive(1, running_session(Importance.NORMAL, "a"), 0.0)
    for token in range(2, 9):
        assert held.arrive(token, context(Importance.HIGH, f"r{token}"), 0.0) == []
    effects = held.arrive(9, context(Importance.CRITICAL), 0.0)
    assert [type(effect) for effect in effects] == [Refuse]
    assert effects[0].token in range(2, 9)
    effects = held.arrive(10, running_session(Importance.NORMAL, "b"), 0.0)
    assert [type(effect) for effect in effects] == [Refuse]
    assert effects[0].token in range(2, 9)


def test_full_queue_of_running_sessions_gives_up_its_lowest_rank() -> None:
    held = gate()
    held.arrive(0, context(Importance.NORMAL), 0.0)
    for token in range(1, 9):
        assert held.arrive(token, running_session(Importance.NORMAL, f"r{token}"), 0.0) == []
    (refused,) = held.arrive(9, context(Importance.SHEDDABLE), 0.0)
    assert refused.token == 9
    (refused,) = held.arrive(10, context(Importance.CRITICAL), 0.0)
    assert refused.token != 10


def test_cancelled_request_never_starts() -> None:
    held = gate()
    held.arrive(1, context(Importance.NORMAL), 0.0)
    held.arrive(2, context(Importance.NORMAL), 0.0)
    assert held.cancel(2, 0.05) == []
    assert held.finish(1, CallResult.OK, 0.1) == []
    assert held.load_report(0.1).in_flight == 0


def test_waiting_request_below_a_raised_threshold_is_refused_at_once() -> None:
    """It must not be held until its deadline while others overtake it."""
    held = gate()
    held.arrive(0, context(Importance.CRITICAL), 0.0)
    held.finish(0, CallResult.OK, 0.1)
    held.arrive(1, context(Importance.CRITICAL), 0.1)
    for token in range(2, 5):
        assert held.arrive(token, context(Importance.SHEDDABLE, f"r{token}"), 0.1) == []
    for token in range(5, 8):
        assert held.arrive(token, context(Importance.CRITICAL, f"r{token}"), 0.1) == []
    held.tick(0.16)
    effects = held.tick(0.22)
    refused = {effect.token for effect in effects if isinstance(effect, Refuse)}
    assert refused >= {2, 3, 4}
    assert refused < set(range(2, 8))
    kept = set(range(5, 8)) - refused
    assert held.finish(1, CallResult.OK, 0.3) == [Start(min(kept))]


def test_running_session_is_not_refused_for_a_threshold_of_its_path() -> None:
    held = gate()
    floor = float(int(Importance.CRITICAL) << 17)
    in_session = CallContext("s", Importance.NORMAL, 10.0, session="download")
    assert held.arrive(1, in_session, 0.0, floor) == [Start(1)]
    outside = held.arrive(2, context(Importance.NORMAL), 0.0, floor)
    assert [type(effect) for effect in outside] == [Refuse]


def call_context(position: int) -> CallContext:
    return CallContext("c", Importance.NORMAL, 10.0, position=position, is_call=True)


def root_context(position: int) -> CallContext:
    return CallContext("r", Importance.NORMAL, 10.0, position=position)


def test_with_demand_known_a_first_request_waits_like_the_calls_of_its_class() -> None:
    held = Gate(1, random.Random(1), 0.0, threshold_rule=ThresholdRule.BY_DEMAND)
    held.arrive(1, call_context(1), 0.0)
    assert held.arrive(2, call_context(100), 0.0) == []
    assert held.arrive(3, root_context(200), 0.0) == []
    assert held.arrive(4, call_context(300), 0.0) == []
    started = []
    for token in (1, 4, 3):
        (effect,) = held.finish(token, CallResult.OK, 0.1)
        started.append(effect.token)
    assert started == [4, 3, 2]


def test_with_demand_known_a_waiting_request_is_shed_when_the_threshold_rises_above_it() -> None:
    held = Gate(1, random.Random(1), 0.0, threshold_rule=ThresholdRule.BY_DEMAND)
    held.arrive(1, call_context(1), 0.0)
    held.finish(1, CallResult.OK, 0.1)
    held.arrive(1, call_context(1), 0.1)
    assert held.arrive(2, root_context(0), 0.1) == []
    for token in range(3, 8):
        assert held.arrive(token, call_context(token), 0.1) == []
    effects: list[GateEffect] = []
    for step in range(1, 40):
        effects += held.tick(0.1 + 0.02 * step)
    assert [effect.token for effect in effects] == [2]
    (refusal,) = effects
    assert isinstance(refusal, Refuse)
    assert refusal.reason is RefusalReason.OVERLOAD


def test_a_call_takes_the_place_of_a_first_request_in_a_full_queue() -> None:
    held = Gate(1, random.Random(1), 0.0, threshold_rule=ThresholdRule.BY_DEMAND)
    held.arrive(0, call_context(1), 0.0)
    for token in range(1, 9):
        assert held.arrive(token, root_context(100 + token), 0.0) == []
    effects = held.arrive(9, call_context(1), 0.0)
    assert [(type(effect), effect.token) for effect in effects] == [(Refuse, 1)]
