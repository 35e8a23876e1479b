"""Guards against memory that grows with the size of entries, which whoever sends them chooses."""

from collections.abc import Sequence
from typing import cast

from finchshed.consensus.effect_runner import EffectRunner
from finchshed.consensus.effects import (
    Effect,
    PersistWrite,
    RefusalCause,
    RequestRefused,
    RoleChanged,
)
from finchshed.consensus.events import Event, Propose, SnapshotTaken, Tick
from finchshed.consensus.node import RaftNode
from finchshed.consensus.options import RaftOptions
from finchshed.storage.log_store import WriteOutcome
from finchshed.storage.records import Snapshot, Vote, Write
from tests.consensus.direct_group import DirectGroup

ENTRY = b"x" * 1_000
LIMIT_BYTES = 10_000
OPTIONS = RaftOptions(
    snapshot_every_bytes=LIMIT_BYTES,
    trailing_bytes=LIMIT_BYTES,
    max_append_bytes=2_000,
    max_in_flight_bytes=LIMIT_BYTES,
    max_unsaved_bytes=LIMIT_BYTES,
    max_pending_bytes=LIMIT_BYTES,
)


def propose(group: DirectGroup, count: int, data: bytes = ENTRY) -> None:
    name = group.leader.identity.name
    for token in range(count):
        group.step(name, [Propose(token, data)])


def refusals(group: DirectGroup) -> list[RefusalCause]:
    reports = group.reports[group.leader.identity.name]
    return [report.cause for report in reports if isinstance(report, RequestRefused)]


def run(group: DirectGroup, seconds: float) -> None:
    end = group.now + seconds
    while group.now < end:
        group.now += 0.05
        group.tick_all()


def test_entries_in_memory_are_bounded_in_bytes() -> None:
    group = DirectGroup.formed(OPTIONS)
    for _ in range(20):
        propose(group, 20)
        for node in group.nodes.values():
            assert node.log.size_bytes <= 2 * LIMIT_BYTES + len(ENTRY)
    assert {node.commit_index for node in group.nodes.values()} == {group.leader.commit_index}


def test_an_entry_above_the_bound_is_kept_no_longer_than_it_is_needed() -> None:
    group = DirectGroup.formed(OPTIONS)
    propose(group, 5, b"x" * 3 * LIMIT_BYTES)
    assert not refusals(group)
    assert {node.log.size_bytes for node in group.nodes.values()} == {0}


def test_follower_without_compacted_entries_gets_a_snapshot() -> None:
    group = DirectGroup.formed(OPTIONS)
    behind = group.followers[0]
    group.cut_off.add(behind)
    propose(group, 100)
    assert group.leader.log.base_index > group.nodes[behind].last_index
    group.cut_off.clear()
    run(group, 1.0)
    assert group.nodes[behind].commit_index == group.leader.commit_index


def test_entries_without_a_quorum_are_bounded_in_bytes() -> None:
    group = DirectGroup.formed(OPTIONS)
    group.cut_off.update(group.followers)
    propose(group, 50)
    leader = group.leader
    assert leader.log.bytes_after(leader.commit_index) <= LIMIT_BYTES
    assert set(refusals(group)) == {RefusalCause.BUSY}


def test_a_single_entry_is_taken_whatever_its_size() -> None:
    group = DirectGroup.formed(OPTIONS)
    group.cut_off.update(group.followers)
    propose(group, 1, b"x" * 3 * LIMIT_BYTES)
    assert not refusals(group)
    propose(group, 1)
    assert refusals(group) == [RefusalCause.BUSY]


def test_entries_that_wait_for_a_slow_disk_are_bounded_in_bytes() -> None:
    group = DirectGroup.formed(OPTIONS)
    slow = group.followers[0]
    group.stalled.add(slow)
    node = group.nodes[slow]
    for _ in range(10):
        propose(group, 10)
        run(group, 0.5)
        unsaved = node.log.bytes_after(node._state.persisted_index)
        assert unsaved <= LIMIT_BYTES + OPTIONS.max_append_bytes
    assert group.leader.commit_index > node.commit_index


def test_entries_sent_to_a_silent_follower_are_bounded_in_bytes() -> None:
    group = DirectGroup.formed(OPTIONS)
    silent = group.followers[0]
    group.cut_off.add(silent)
    propose(group, 100)
    leader_state = group.leader._state.leader_state
    assert leader_state is not None
    progress = leader_state.progress[group.nodes[silent].identity]
    assert progress.in_flight_bytes <= LIMIT_BYTES + OPTIONS.max_append_bytes


def test_truncated_and_compacted_entries_are_not_counted() -> None:
    group = DirectGroup.formed(OPTIONS)
    log = group.leader.log
    before = log.size_bytes
    propose(group, 5)
    assert log.size_bytes == before + 5 * len(ENTRY)
    log.truncate_from(log.last_index - 1)
    assert log.size_bytes == before + 3 * len(ENTRY)
    log.compact(log.last_index - 1)
    assert log.size_bytes == len(ENTRY)


class ScriptedNode:
    """A node that has the given effects, one list a step."""

    last_now = 0.0

    def __init__(self, *effects: list[Effect]) -> None:
        self._effects = list(effects)

    def handle_all(self, events: Sequence[Event], now: float) -> list[Effect]:
        return self._effects.pop(0) if self._effects else []


def snapshot_write(ticket: int) -> PersistWrite:
    return PersistWrite(ticket, Write(vote=Vote(1), snapshot=Snapshot(ticket, 1, b"", ENTRY)))


def test_a_snapshot_takes_the_place_of_what_waits_for_the_disk() -> None:
    writes = [PersistWrite(1, Write(vote=Vote(1))), snapshot_write(2), snapshot_write(3)]
    writes.append(PersistWrite(4, Write(vote=Vote(2))))
    node = ScriptedNode(*([write] for write in writes))
    runner = EffectRunner(cast(RaftNode, node), cast("object", None))  # type: ignore[arg-type]
    runner.handle([Tick()], 0.0)
    assert runner.take_pending_writes() == [writes[0].write]
    for _ in range(3):
        runner.handle([Tick()], 0.0)
    runner.on_write_finished(WriteOutcome.DISK_FULL, 0.0)
    assert runner.take_pending_writes() == [writes[2].write, writes[3].write]


def test_followers_answer_heartbeats_while_a_snapshot_is_written() -> None:
    group = DirectGroup.formed(OPTIONS)
    propose(group, 5)
    leader = group.leader
    for name in group.followers:
        group.stalled.add(name)
        group.step(name, [SnapshotTaken(group.nodes[name].commit_index, b"state")])
    before = {name: len(reports) for name, reports in group.reports.items()}
    run(group, 5 * OPTIONS.election_timeout_max_seconds)
    seen = [report for name, start in before.items() for report in group.reports[name][start:]]
    assert not [report for report in seen if isinstance(report, RoleChanged)]
    assert group.leader is leader
