"""Each checker passes a history that keeps its property, and finds one that doesn't."""

import msgspec

from finchshed.common.importance import Importance
from finchshed.proof.history import (
    AttemptSent,
    CallBegan,
    ChangeAnswered,
    ChangeSubmitted,
    ControlReachable,
    EndpointLeaving,
    EndpointReturned,
    Event,
    Fault,
    NodeStarted,
    NodeStopped,
    PlannedStop,
    RevisionInForce,
)
from tests.proof.histories import (
    admissions,
    answered,
    call,
    crashed,
    failed,
    finished,
    found,
    refused,
    run,
)


def repeated_runs(count: int) -> list[Event]:
    """Return one call from outside whose only child ran ``count`` times."""
    child = call(0.2, "e1#1/0", parent="e1#1")
    runs = [run(0.3 + 0.1 * number, f"e2#{number}", "e1#1/0") for number in range(count)]
    return [call(0.0), run(0.1), child, *runs]


def test_retries_within_the_budget_pass() -> None:
    assert not found("retry-bound", *repeated_runs(3))


def test_retries_past_the_budget_are_found_across_hops() -> None:
    assert found("retry-bound", *repeated_runs(4))


def test_sends_past_budget_and_redirects_are_found() -> None:
    def sends(count: int) -> list[Event]:
        return [AttemptSent(0.1 * number, "r1/1", "r1", "e1") for number in range(count)]

    assert not found("retry-bound", call(0.0), *sends(5))
    assert found("retry-bound", call(0.0), *sends(6))


def test_whole_own_answer_passes() -> None:
    assert not found("whole-answers", call(0.0), run(0.1), finished(0.2), answered(0.3))


def test_cut_foreign_early_and_second_answers_are_found() -> None:
    ran = (call(0.0), run(0.1), finished(0.2))
    assert found("whole-answers", *ran, answered(0.3, whole=False))
    assert found("whole-answers", *ran, answered(0.3, root="r2"))
    assert found("whole-answers", *ran, answered(0.15))
    assert found("whole-answers", *ran, answered(0.3), answered(0.4))
    assert found("whole-answers", *ran, answered(0.3, name="r9/1"))


def test_an_answer_to_the_same_key_is_an_own_answer() -> None:
    first = CallBegan(0.0, "r1/1", "r1", "s", Importance.HIGH, key="k")
    ran = (first, run(0.1, key="k"), finished(0.2))
    again = CallBegan(0.3, "r2/1", "r2", "s", Importance.HIGH, key="k")
    assert not found("whole-answers", *ran, again, answered(0.4, "r2/1", "r1"))
    other = CallBegan(0.3, "r2/1", "r2", "s", Importance.HIGH, key="k2")
    assert found("whole-answers", *ran, other, answered(0.4, "r2/1", "r1"))


def test_calls_without_an_outcome_are_found() -> None:
    assert not found("calls-end", call(0.0), refused(5.0))
    assert found("calls-end", call(0.0), call(1.0, "r2/1", "r2"), refused(6.0, "r2/1"))


def test_refused_requests_that_ran_are_found() -> None:
    assert not found("refused-not-run", call(0.0), refused(0.2))
    assert found("refused-not-run", call(0.0), run(0.1), refused(0.2))
    assert found("refused-not-run", call(0.0), refused(0.2), run(0.3))


def test_second_run_of_a_key_is_found() -> None:
    first = run(0.1, key="k")
    assert not found("at-most-once", first, run(0.2, "e2#1", "r2/1", "r2", key="k2"))
    assert found("at-most-once", first, run(0.2, "e2#1", "r1/2", key="k"))


def test_shedding_the_less_important_first_passes() -> None:
    low = admissions(0.0, Importance.SHEDDABLE, 5, 95, end=3.0)
    high = admissions(0.0, Importance.CRITICAL, 40, 0, end=3.0)
    assert not found("shed-order", *low, *high)


def test_shedding_the_more_important_is_found() -> None:
    low = admissions(0.0, Importance.SHEDDABLE, 90, 10, end=1.0)
    low += admissions(1.0, Importance.SHEDDABLE, 90, 10, end=2.0)
    high = admissions(0.0, Importance.CRITICAL, 5, 45, end=1.0)
    high += admissions(1.0, Importance.CRITICAL, 5, 45, end=2.0)
    assert found("shed-order", *low, *high)
    slow = Fault(0.0, "slow_service", ("s",))
    assert found("shed-order", slow, *low, *high)
    killed = Fault(0.5, "crash_daemon", ("e9",))
    assert not found("shed-order", killed, *low, *high)


def test_shares_are_compared_at_equal_times() -> None:
    """Overload of the more important class that ends as the less important arrives is in order."""
    span = admissions(0.0, Importance.HIGH, 0, 50, end=1.5)
    span += admissions(1.5, Importance.HIGH, 30, 1, end=2.0)
    later = admissions(1.5, Importance.SHEDDABLE, 30, 0, end=2.0)
    assert not found("shed-order", *span, *later)
    together = admissions(0.7, Importance.SHEDDABLE, 30, 0, end=1.5)
    assert found("shed-order", *span, *together)


def test_running_sessions_are_left_out_of_the_order() -> None:
    high = admissions(0.0, Importance.HIGH, 0, 60, end=2.0)
    low = admissions(0.5, Importance.NORMAL, 40, 0, end=2.0)
    assert found("shed-order", *high, *low)
    running = [msgspec.structs.replace(item, in_session=True) for item in low]
    assert not found("shed-order", *high, *running)


def in_session(time: float, name: str) -> CallBegan:
    root = name.split("/", maxsplit=1)[0]
    return CallBegan(time, name, root, "s", Importance.NORMAL, session="a")


def test_a_refused_request_of_a_running_session_is_found() -> None:
    runs = (in_session(0.0, "r1/1"), run(0.1), finished(0.2), answered(0.3))
    later = (in_session(1.0, "r2/1"), refused(1.1, "r2/1"))
    assert found("sessions", *runs, *later)
    assert not found("sessions", *later)
    killed = Fault(0.5, "crash_daemon", ("e1",))
    assert not found("sessions", *runs, killed, *later)
    slowed = Fault(0.5, "slow_service", ("s",))
    assert found("sessions", *runs, slowed, *later)


def test_a_request_sent_before_its_session_ran_may_be_refused() -> None:
    early = (in_session(0.1, "r2/1"), refused(0.5, "r2/1"))
    runs = (in_session(0.0, "r1/1"), run(0.1), finished(0.2), answered(0.3))
    assert not found("sessions", *runs, *early)


def leaving(begin: float, *runs: Event, sign: str = "answer") -> list[Event]:
    return [EndpointLeaving(begin, "e1", sign), *runs]


def test_new_work_at_a_leaving_back_end_is_found() -> None:
    assert not found("leaving", *leaving(1.0, run(2.9)))
    assert found("leaving", *leaving(1.0, run(3.1)))
    waited = AttemptSent(2.9, "r1/1", "r1", "e1")
    assert not found("leaving", waited, *leaving(1.0, run(3.1)))
    late = AttemptSent(3.05, "r1/1", "r1", "e1")
    assert found("leaving", late, *leaving(1.0, run(3.1)))
    returned = EndpointReturned(3.0, "e1")
    assert not found("leaving", *leaving(1.0, run(3.1)), returned)


def test_work_of_a_session_that_ran_there_before_is_not_new() -> None:
    held = run(0.5, "e1#1", session="a")
    assert not found("leaving", held, *leaving(1.0, run(4.0, "e1#2", session="a")))
    assert found("leaving", held, *leaving(1.0, run(4.0, "e1#2", session="b")))


def test_a_sign_by_control_counts_from_when_it_could_be_heard() -> None:
    cut = (ControlReachable(0.5, "e1", False), ControlReachable(5.0, "e1", True))
    assert not found("leaving", *cut, *leaving(1.0, run(6.0), sign="operator"))
    assert found("leaving", *cut, *leaving(1.0, run(7.5), sign="operator"))
    assert found("leaving", *cut, *leaving(1.0, run(6.0), sign="answer"))


def test_a_planned_stop_that_cuts_a_run_or_an_answer_is_found() -> None:
    stop = (PlannedStop(1.0, "e1", "e1"), EndpointLeaving(1.0, "e1", "stop"))
    began = (call(0.8), run(0.9))
    assert not found("planned-stop", *stop, *began, finished(1.5), answered(1.6))
    assert found("planned-stop", *stop, *began, crashed(1.5))
    assert found("planned-stop", *stop, *began, finished(1.5), failed(1.6))


def test_a_stop_with_another_fault_on_the_back_end_is_not_judged() -> None:
    stop = (PlannedStop(1.0, "e1", "e1"), EndpointLeaving(1.0, "e1", "stop"))
    killed = Fault(1.4, "crash_back_end", ("e1",))
    assert not found("planned-stop", *stop, killed, run(0.9), crashed(1.5))
    elsewhere = Fault(1.4, "crash_back_end", ("e2",))
    assert found("planned-stop", *stop, elsewhere, run(0.9), crashed(1.5))


ACCEPTED = ChangeAnswered(1.0, "c1", "accepted", 5)


def in_force(time: float, revision: int, node: str = "d1", digest: str = "") -> RevisionInForce:
    return RevisionInForce(time, node, revision, digest)


def test_a_change_in_force_in_time_passes() -> None:
    assert not found("configuration", NodeStarted(0.0, "d1"), ACCEPTED, in_force(4.9, 5))


def test_a_change_in_force_late_or_never_is_found() -> None:
    started = NodeStarted(0.0, "d1")
    assert found("configuration", started, ACCEPTED, in_force(5.1, 5))
    assert found("configuration", started, ACCEPTED, call(6.0))


def test_a_daemon_that_was_cut_off_or_down_has_the_bound_anew() -> None:
    started = NodeStarted(0.0, "d1")
    cut = (ControlReachable(0.5, "d1", False), ControlReachable(7.0, "d1", True))
    assert not found("configuration", started, *cut, ACCEPTED, in_force(10.9, 5))
    assert found("configuration", started, *cut, ACCEPTED, in_force(11.1, 5))
    down = (NodeStopped(2.0, "d1"), NodeStarted(7.0, "d1"))
    assert not found("configuration", started, *down, ACCEPTED, in_force(10.9, 5))
    assert found("configuration", started, *down, ACCEPTED, in_force(11.1, 5))


def test_a_revert_is_found_also_over_a_restart() -> None:
    started = NodeStarted(0.0, "d1")
    assert found("configuration", started, in_force(1.0, 5), in_force(2.0, 4))
    again = (NodeStopped(1.5, "d1"), NodeStarted(1.8, "d1"))
    assert found("configuration", started, in_force(1.0, 5), *again, in_force(2.0, 4))


def test_two_winners_of_a_race_and_changed_answers_are_found() -> None:
    second = ChangeAnswered(1.1, "c2", "accepted", 5)
    assert found("configuration", ACCEPTED, second)
    assert not found("configuration", ACCEPTED, ChangeAnswered(1.1, "c2", "conflict"))
    race = [ChangeSubmitted(0.5, name, "o", 4) for name in ("c1", "c2")]
    assert found("configuration", *race, ACCEPTED, ChangeAnswered(1.1, "c2", "accepted", 6))
    assert found("configuration", ACCEPTED, ChangeAnswered(1.1, "c1", "conflict"))
    assert not found("configuration", ACCEPTED, ChangeAnswered(1.1, "c1", "unknown"))


def test_different_configurations_at_one_revision_are_found() -> None:
    assert not found("configuration", in_force(1.0, 5, "d1", "a"), in_force(1.1, 5, "d2", "a"))
    assert found("configuration", in_force(1.0, 5, "d1", "a"), in_force(1.1, 5, "d2", "b"))
