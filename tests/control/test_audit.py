import random

import msgspec

from finchshed.common.outcomes import Answered
from finchshed.configuration.changes import Accepted, Change, Conflict
from finchshed.configuration.resources import Operator, Service
from finchshed.control.raft.recovery import REVISION_GAP, recovered_state
from finchshed.control.state.audit import MAX_SUBJECT_CHARACTERS, AuditEntry, AuditTrail
from finchshed.control.state.commands import (
    ApplyChange,
    BeginRequest,
    CancelRequest,
    Command,
    CompleteRequest,
    LogEntry,
    RecordAction,
    encode_entry,
)
from finchshed.control.state.machine import ControlStateMachine, StateSnapshot
from finchshed.ledger.keys import new_key
from finchshed.ledger.ledger import MAX_CLOCK_LEAD_SECONDS
from finchshed.ledger.results import Completed, Granted, OutcomeUnknown

NOW = 1_800_000_000.0
ANA = Operator(name="ana", token_sha256="a" * 64)
ANSWER = Answered(200, (), b"whole")


class StateMachineLog:
    """Applies commands to a state machine in order."""

    def __init__(self, machine: ControlStateMachine) -> None:
        self.machine = machine

    def apply(self, command: Command, time: float = NOW) -> object:
        index = self.machine.applied_index + 1
        return self.machine.apply(index, encode_entry(LogEntry(time, command)))


def log_with_operator() -> StateMachineLog:
    log = StateMachineLog(ControlStateMachine())
    log.apply(ApplyChange(Change("first", "bootstrap", 0, (ANA,))))
    return log


def subjects(machine: ControlStateMachine) -> list[tuple[str, str, str]]:
    return [(item.operator, item.subject, item.outcome) for item in machine.audit.latest(99)]


def test_each_change_leaves_one_entry_whatever_came_of_it_and_resends_none() -> None:
    log = log_with_operator()
    won = ApplyChange(Change("won", "ana", 1, (Service(name="s"),)))
    lost = ApplyChange(Change("lost", "ana", 1, (Service(name="t"),)))
    invalid = ApplyChange(Change("bad", "nobody", 2, (Service(name="u"),)))
    for command in (won, lost, invalid, won, lost, invalid):
        log.apply(command)
    assert subjects(log.machine) == [
        ("nobody", "=service/u", "bad: invalid"),
        ("ana", "=service/t", "lost: conflict with won of ana"),
        ("ana", "=service/s", "won: accepted as revision 2"),
        ("bootstrap", "=operator/ana", "first: accepted as revision 1"),
    ]


def test_an_action_sent_again_within_minutes_is_one_entry() -> None:
    log = log_with_operator()
    action = RecordAction("ana", "replace-member", "--add=c4")
    for seconds in (0.0, 1.0, 599.0, 601.0):
        log.apply(action, NOW + seconds)
    log.apply(RecordAction("ben", "replace-member", "--add=c4"), NOW + 602.0)
    times = [item.time - NOW for item in log.machine.audit.latest(3)]
    assert times == [602.0, 601.0, 0.0]


def test_the_trail_is_bounded_and_kept_by_a_snapshot() -> None:
    trail = AuditTrail(retention=3)
    for number in range(5):
        trail.add(AuditEntry(number, NOW, "ana", "apply", "x" * 500, "ok"))
    assert [item.index for item in trail.latest(10)] == [4, 3, 2]
    assert trail.latest(0) == ()
    assert {len(item.subject) for item in trail.latest(3)} == {MAX_SUBJECT_CHARACTERS}
    log = log_with_operator()
    other = ControlStateMachine()
    other.restore(log.machine.snapshot())
    assert other.audit.snapshot() == log.machine.audit.snapshot() != ()


def recovered_log(log: StateMachineLog) -> StateMachineLog:
    state = msgspec.json.decode(log.machine.snapshot(), type=StateSnapshot)
    after = recovered_state(state, state.index + 7, NOW + 1.0, "disk")
    machine = ControlStateMachine()
    machine.restore(msgspec.json.encode(after))
    return StateMachineLog(machine)


def test_a_recovered_configuration_goes_on_past_every_revision_that_may_be_lost() -> None:
    log = log_with_operator()
    after = recovered_log(log)
    assert after.machine.store.revision == 1 + REVISION_GAP
    assert after.machine.applied_index == log.machine.applied_index + 7
    late = after.apply(ApplyChange(Change("late", "ana", 1, (Service(name="s"),))))
    assert late == Conflict(1 + REVISION_GAP, f"restore-{1 + REVISION_GAP}", "restore")
    new = Change("new", "ana", 1 + REVISION_GAP, (Service(name="s"),))
    assert after.apply(ApplyChange(new)) == Accepted(2 + REVISION_GAP)
    first = ApplyChange(Change("first", "bootstrap", 0, (ANA,)))
    assert after.apply(first) == Accepted(1)


def test_no_key_from_before_a_recovery_runs_and_every_later_one_does() -> None:
    names = ("begun", "cancelled", "done", "never")
    keys = {name: new_key(NOW, random.Random(name)) for name in names}
    log = log_with_operator()
    for name in ("begun", "cancelled", "done"):
        log.apply(BeginRequest(keys[name], "a"))
    log.apply(CancelRequest(keys["cancelled"], "a"))
    log.apply(CompleteRequest(keys["done"], "a", ANSWER))
    after = recovered_log(log)
    assert after.apply(BeginRequest(keys["done"], "b")) == Completed(ANSWER)
    for name in ("begun", "cancelled", "never"):
        assert after.apply(BeginRequest(keys[name], "b")) == OutcomeUnknown()
    edge = NOW + 1.0 + MAX_CLOCK_LEAD_SECONDS
    assert after.apply(BeginRequest(key_issued_at(edge - 0.01), "b"), edge) == OutcomeUnknown()
    assert after.apply(BeginRequest(key_issued_at(edge + 0.01), "b"), edge) == Granted()


def key_issued_at(time: float) -> str:
    return new_key(time, random.Random(time))
