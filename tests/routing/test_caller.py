"""State machine of an outgoing call."""

import random

from finchshed.common.context import HEADER_DOWNSTREAM, CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import (
    Answered,
    Failed,
    FailureReason,
    RefusalReason,
    Refused,
)
from finchshed.configuration.resources import Endpoint
from finchshed.retry.bucket import RetryBucket
from finchshed.routing.caller import STOP_DETAIL, CallStateMachine
from finchshed.routing.caller_effects import CancelAttempt, Finish, SendAttempt, SetTimer
from finchshed.routing.table import RoutingTable


def endpoint(number: int) -> Endpoint:
    return Endpoint(
        name=f"e{number}",
        service="s",
        region="r",
        zone="z",
        address=f"127.0.0.1:{9000 + number}",
        slots=4,
    )


def caller(
    endpoints: int, spare: int, repeatable: bool = True, pinned: str = ""
) -> CallStateMachine:
    rng = random.Random(3)
    table = RoutingTable("z", "r", rng)
    table.replace([endpoint(number) for number in range(endpoints)])
    context = CallContext("root", Importance.NORMAL, 1.0, spare_attempts=spare)
    bucket = RetryBucket(0.1, 0.0)
    return CallStateMachine(
        table, bucket, "s", context, repeatable=repeatable, rng=rng, pinned=pinned
    )


def test_unused_spare_attempts_are_returned_with_the_answer() -> None:
    logic = caller(2, 3)
    send = logic.begin(0.0)[0]
    assert isinstance(send, SendAttempt)
    answer = Answered(200, (), b"")
    assert logic.on_outcome(send.attempt, answer, send.allocated_attempts, None, 0.1) == [
        Finish(answer, 3)
    ]


def test_pin_is_kept_on_overload_and_dropped_at_the_session_limit() -> None:
    for reason, is_kept in ((RefusalReason.OVERLOAD, True), (RefusalReason.SESSION_LIMIT, False)):
        logic = caller(2, 3, pinned="e1")
        first = logic.begin(0.0)[0]
        assert isinstance(first, SendAttempt)
        assert first.endpoint.name == "e1"
        refused = Refused(reason, 1.0)
        timer = logic.on_outcome(first.attempt, refused, first.allocated_attempts, None, 0.1)[0]
        assert isinstance(timer, SetTimer)
        second = logic.on_timer(timer.at)[0]
        assert isinstance(second, SendAttempt)
        assert (second.endpoint.name == "e1") is is_kept


def test_refused_attempt_is_retried_elsewhere_and_uses_a_spare_attempt() -> None:
    logic = caller(2, 3)
    first = logic.begin(0.0)[0]
    assert isinstance(first, SendAttempt)
    refused = Refused(RefusalReason.QUEUE_FULL, 1.0)
    timer = logic.on_outcome(first.attempt, refused, first.allocated_attempts, None, 0.1)[0]
    assert isinstance(timer, SetTimer)
    second = logic.on_timer(timer.at)[0]
    assert isinstance(second, SendAttempt)
    assert second.endpoint != first.endpoint
    answer = Answered(200, (), b"")
    assert logic.on_outcome(second.attempt, answer, second.allocated_attempts, None, 0.2) == [
        Finish(answer, 2)
    ]


def test_allocated_attempts_of_a_failed_attempt_are_lost() -> None:
    logic = caller(1, 3)
    send = logic.begin(0.0)[0]
    assert isinstance(send, SendAttempt)
    failed = Failed(FailureReason.OUTCOME_UNKNOWN, 1.0)
    finish = logic.on_outcome(send.attempt, failed, 0, None, 0.1)
    assert finish == [Finish(failed, 3 - send.allocated_attempts)]


def test_failed_request_is_not_retried_unless_repeatable() -> None:
    logic = caller(2, 3, repeatable=False)
    send = logic.begin(0.0)[0]
    assert isinstance(send, SendAttempt)
    failed = Failed(FailureReason.LINK_BROKEN, 1.0)
    assert isinstance(logic.on_outcome(send.attempt, failed, 0, None, 0.1)[0], Finish)


def test_deadline_ends_the_call_and_late_outcomes_are_ignored() -> None:
    logic = caller(2, 3)
    send = logic.begin(0.0)[0]
    assert isinstance(send, SendAttempt)
    finish = logic.on_timer(1.0)[-1]
    assert isinstance(finish, Finish)
    assert isinstance(finish.outcome, Failed)
    assert logic.on_outcome(send.attempt, Answered(200, (), b""), 0, None, 1.1) == []


def test_refusal_after_a_failed_attempt_is_reported_as_a_failure() -> None:
    logic = caller(2, 3)
    first = logic.begin(0.0)[0]
    assert isinstance(first, SendAttempt)
    failed = Failed(FailureReason.LINK_BROKEN, 0.1)
    timer = logic.on_outcome(first.attempt, failed, 0, None, 0.1)[0]
    assert isinstance(timer, SetTimer)
    second = logic.on_timer(timer.at)[0]
    assert isinstance(second, SendAttempt)
    refused = Refused(RefusalReason.OVERLOAD, 1.0)
    finish = logic.on_outcome(second.attempt, refused, second.allocated_attempts, None, 0.99)[-1]
    assert isinstance(finish, Finish)
    assert isinstance(finish.outcome, Failed)
    assert finish.outcome.retry_after == 1.0


def retry_after_answer(logic: CallStateMachine, first: Answered, now: float) -> SendAttempt:
    """Begin a call whose first attempt is answered by ``first``; return the second attempt."""
    send = logic.begin(0.0)[0]
    assert isinstance(send, SendAttempt)
    timer = logic.on_outcome(send.attempt, first, send.allocated_attempts, None, now)[0]
    assert isinstance(timer, SetTimer)
    second = logic.on_timer(timer.at)[0]
    assert isinstance(second, SendAttempt)
    assert second.endpoint != send.endpoint
    return second


ERROR = Answered(500, (), b"error")


def test_quick_error_of_a_repeatable_request_is_retried_elsewhere() -> None:
    logic = caller(2, 3)
    second = retry_after_answer(logic, ERROR, 0.05)
    answer = Answered(200, (), b"")
    assert logic.on_outcome(second.attempt, answer, second.allocated_attempts, None, 0.2) == [
        Finish(answer, 2)
    ]


def test_error_answer_is_returned_if_its_retry_is_not_answered() -> None:
    for outcome in (
        Refused(RefusalReason.OVERLOAD, 1.0),
        Failed(FailureReason.BACKEND_BROKEN, 1.0),
    ):
        logic = caller(2, 1)
        second = retry_after_answer(logic, ERROR, 0.05)
        assert logic.on_outcome(second.attempt, outcome, 0, None, 0.2) == [Finish(ERROR, 0)]
    logic = caller(2, 1)
    second = retry_after_answer(logic, ERROR, 0.05)
    assert logic.on_timer(1.0)[-1] == Finish(ERROR, 0)


def test_errors_that_must_not_be_retried_are_returned() -> None:
    downstream = Answered(500, ((HEADER_DOWNSTREAM, "1"),), b"")
    cases = (
        (caller(2, 3, repeatable=False), ERROR, 0.05),
        (caller(2, 3), ERROR, 0.4),
        (caller(2, 3), Answered(504, (), b""), 0.05),
        (caller(2, 3), downstream, 0.05),
        (caller(2, 0), ERROR, 0.05),
    )
    for logic, answer, now in cases:
        send = logic.begin(0.0)[0]
        assert isinstance(send, SendAttempt)
        effect = logic.on_outcome(send.attempt, answer, send.allocated_attempts, None, now)[0]
        assert isinstance(effect, Finish)
        assert effect.outcome == answer


def test_a_stop_says_of_a_sent_request_that_it_may_have_run() -> None:
    logic = caller(2, 3)
    send = logic.begin(0.0)[0]
    assert isinstance(send, SendAttempt)
    cancel, finish = logic.stop(0.5)
    assert cancel == CancelAttempt(send.attempt, send.endpoint)
    assert isinstance(finish, Finish)
    assert isinstance(finish.outcome, Failed)
    assert finish.outcome.reason is FailureReason.DEADLINE
    assert finish.outcome.detail == STOP_DETAIL
    assert logic.stop(0.6) == []


def test_a_stop_says_of_a_request_refused_so_far_that_it_has_not_run() -> None:
    logic = caller(2, 3)
    send = logic.begin(0.0)[0]
    assert isinstance(send, SendAttempt)
    refused = Refused(RefusalReason.QUEUE_FULL, 1.0)
    logic.on_outcome(send.attempt, refused, send.allocated_attempts, None, 0.1)
    (finish,) = logic.stop(0.1)
    assert isinstance(finish, Finish)
    assert isinstance(finish.outcome, Refused)
    assert finish.outcome.reason is RefusalReason.DRAINING
