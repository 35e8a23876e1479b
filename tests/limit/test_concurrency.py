"""Concurrency limit of a back end."""

from hypothesis import given
from hypothesis import strategies as st

from finchshed.common.results import CallResult
from finchshed.limit.concurrency import DECREASE_FACTOR, ConcurrencyLimit, usable_slots


def record_answers(limit: ConcurrencyLimit, count: int, now: float = 0.0) -> None:
    for _ in range(count):
        limit.on_result(CallResult.OK, 0.1, now)


@given(
    st.integers(1, 64),
    st.lists(st.tuples(st.sampled_from(CallResult), st.floats(0.0, 5.0)), max_size=200),
)
def test_limit_stays_between_one_and_the_declared_slots(
    slots: int, results: list[tuple[CallResult, float]]
) -> None:
    limit = ConcurrencyLimit(slots)
    now = 0.0
    for result, pause in results:
        now += pause
        limit.on_result(result, 0.1, now)
        assert 1 <= limit.limit <= slots


def test_refusals_within_one_latency_lower_the_limit_once() -> None:
    limit = ConcurrencyLimit(20)
    record_answers(limit, 10)
    for _ in range(10):
        limit.on_result(CallResult.REFUSED, 0.0, 1.0)
    assert limit.limit == int(20 * DECREASE_FACTOR)
    limit.on_result(CallResult.REFUSED, 0.0, 1.2)
    assert limit.limit == int(20 * DECREASE_FACTOR * DECREASE_FACTOR)


def test_limit_recovers_with_answers() -> None:
    limit = ConcurrencyLimit(20)
    record_answers(limit, 10)
    limit.on_result(CallResult.REFUSED, 0.0, 1.0)
    lowered = limit.limit
    record_answers(limit, lowered)
    assert limit.limit == lowered + 1 or limit.limit == lowered
    record_answers(limit, 200)
    assert limit.limit == 20


def test_only_answered_requests_update_the_latency() -> None:
    limit = ConcurrencyLimit(4)
    record_answers(limit, 1)
    for result in (CallResult.CANCELLED, CallResult.FAILED, CallResult.REFUSED):
        limit.on_result(result, 9.0, 0.0)
    assert limit.mean_latency == 0.1


def test_changed_slots_take_effect() -> None:
    limit = ConcurrencyLimit(4)
    limit.set_slots(9)
    assert limit.limit == 9


def test_one_slot_in_twenty_is_left_unused_on_large_back_ends() -> None:
    used = {slots: usable_slots(slots) for slots in (1, 4, 11, 12, 14, 20, 31, 92, 183)}
    assert used == {1: 1, 4: 4, 11: 11, 12: 11, 14: 13, 20: 19, 31: 29, 92: 87, 183: 173}


def test_refusals_independent_of_load_do_not_lower_the_limit() -> None:
    limit = ConcurrencyLimit(40)
    for step in range(600):
        result = CallResult.OK if step % 20 < 9 else CallResult.REFUSED
        limit.on_result(result, 0.1, 0.02 * step, running=30 + step % 8)
    assert limit.limit >= 36


def test_limit_adapts_to_a_back_end_that_declares_too_many_slots() -> None:
    limit = ConcurrencyLimit(40)
    now = 0.0
    for _ in range(2000):
        now += 0.005
        running = limit.limit
        result = CallResult.REFUSED if running > 10 else CallResult.OK
        limit.on_result(result, 0.1, now, running)
    assert limit.limit <= 12


def test_old_peak_concurrency_does_not_keep_the_limit_up() -> None:
    limit = ConcurrencyLimit(40)
    limit.on_result(CallResult.OK, 0.1, 0.0, running=40)
    for step in range(60):
        limit.on_result(CallResult.REFUSED, 0.0, 1.1 + 0.2 * step, running=5)
    assert limit.limit == 1
