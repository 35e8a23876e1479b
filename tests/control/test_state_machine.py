import random

import pytest

from finchshed.common.errors import InvariantError
from finchshed.configuration.changes import Accepted, Change
from finchshed.configuration.resources import Operator, Policy, Service
from finchshed.configuration.store import CommittedRevision
from finchshed.control.state.commands import (
    ApplyChange,
    BeginRequest,
    Command,
    LogEntry,
    encode_entry,
)
from finchshed.control.state.machine import ControlStateMachine
from finchshed.ledger.keys import new_key
from finchshed.ledger.results import (
    Granted,
    LedgerRefusal,
    LedgerRefusalReason,
    OutcomeUnknown,
)

NOW = 1_800_000_000.0
ANA = Operator(name="ana", token_sha256="a" * 64)


def entry(command: Command, time: float = NOW) -> bytes:
    return encode_entry(LogEntry(time, command))


def first_change() -> ApplyChange:
    return ApplyChange(Change("first", "bootstrap", 0, (ANA, Policy(key_window_seconds=100.0))))


def test_same_entries_give_the_same_state_on_every_node() -> None:
    key = new_key(NOW, random.Random(1))
    entries = [
        entry(first_change()),
        entry(BeginRequest(key, "a")),
        entry(ApplyChange(Change("second", "ana", 1, (Service(name="s"),)))),
    ]
    machines = [ControlStateMachine(), ControlStateMachine()]
    for machine in machines:
        for index, data in enumerate(entries, start=1):
            machine.apply(index, data)
    assert machines[0].snapshot() == machines[1].snapshot()


def test_snapshot_contains_configuration_results_and_ledger() -> None:
    key = new_key(NOW, random.Random(1))
    machine = ControlStateMachine()
    assert machine.apply(1, entry(first_change())) == Accepted(1)
    assert machine.apply(2, entry(BeginRequest(key, "a"))) == Granted()
    restored: list[int] = []
    other = ControlStateMachine(on_restored=lambda: restored.append(1))
    other.restore(machine.snapshot())
    assert restored == [1]
    assert other.apply(3, entry(first_change())) == Accepted(1)
    assert other.apply(4, entry(BeginRequest(key, "b"))) == OutcomeUnknown()


def test_key_window_follows_the_policy_and_the_time_of_entries() -> None:
    machine = ControlStateMachine()
    machine.apply(1, entry(first_change()))
    key = new_key(NOW, random.Random(1))
    machine.apply(2, entry(BeginRequest(key, "a"), NOW))
    machine.apply(3, entry(BeginRequest(key, "b"), NOW + 99.0))
    result = machine.apply(4, entry(BeginRequest(key, "c"), NOW + 101.0))
    assert result == LedgerRefusal(LedgerRefusalReason.EXPIRED)


def test_accepted_changes_are_reported_once_and_resends_are_not() -> None:
    committed_revisions: list[CommittedRevision] = []
    machine = ControlStateMachine(on_committed=committed_revisions.append)
    machine.apply(1, entry(first_change()))
    machine.apply(2, entry(first_change()))
    assert [committed.revision for committed in committed_revisions] == [1]


@pytest.mark.parametrize("data", [b"", b"{}", b"\xff\xfe", b'{"time":1,"command":{"type":"x"}}'])
def test_unreadable_entry_violates_an_invariant(data: bytes) -> None:
    with pytest.raises(InvariantError):
        ControlStateMachine().apply(1, data)


def test_entry_applied_twice_violates_an_invariant() -> None:
    machine = ControlStateMachine()
    machine.apply(1, entry(first_change()))
    with pytest.raises(InvariantError):
        machine.apply(1, entry(first_change()))
