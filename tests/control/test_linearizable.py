"""Operators' reads and changes on real nodes under faults, checked as a recorded history.

The revision is a counter that each accepted change raises by one, so a history is linearizable if
and only if each read returns no less than every operation that had ended before it began returned,
and no more than the changes that had begun before it ended could have made.
"""

import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import pytest

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.changes import Accepted
from finchshed.configuration.difference import Difference
from finchshed.configuration.resources import Service
from finchshed.ctl.changes import read_in_force, submit
from finchshed.runtime import clock
from tests.control.group import Group, Node

CLIENTS = 6
FAULTS = 4
MIN_OPERATIONS = 100
"""Fewer answers show nothing. On a busy machine one course of faults may bring fewer: 374 to 396 on
an idle one, 112 to 131 beside 14 busy processes."""

LONGEST_SECONDS = 90.0
"""The faults go on until there were enough answers, for so long at most."""


class Operation(msgspec.Struct):
    """``revision`` None: no answer, or a conflict; a change may then have been accepted or not."""

    begun: float
    ended: float
    is_change: bool
    revision: int | None


def problems_of(history: list[Operation]) -> list[str]:
    """Return what no order of the operations explains; ``revision`` 1 is the first of all."""
    problems = []
    accepted = [item.revision for item in history if item.is_change and item.revision]
    if len(accepted) != len(set(accepted)):
        problems.append("two changes were accepted as one revision")
    for item in history:
        if item.revision is None:
            continue
        before = [
            other.revision
            for other in history
            if other.revision is not None and other.ended < item.begun
        ]
        least = max(before, default=1) + (1 if item.is_change and before else 0)
        begun = sum(other.is_change and other.begun <= item.ended for other in history)
        if not least <= item.revision <= 1 + begun:
            problems.append(f"{item}: allowed are {least} to {1 + begun}")
    return problems


def test_the_checker_finds_stale_reads_reads_from_nowhere_and_shared_revisions() -> None:
    change = Operation(0.0, 1.0, True, 2)
    assert problems_of([change, Operation(2.0, 3.0, False, 2)]) == []
    assert problems_of([change, Operation(0.5, 3.0, False, 1)]) == []
    assert problems_of([change, Operation(2.0, 3.0, False, 1)])
    assert problems_of([change, Operation(2.0, 3.0, False, 3)])
    assert problems_of([change, Operation(0.0, 1.0, True, 2)])
    lost = Operation(0.0, 1.0, True, None)
    assert problems_of([lost, Operation(2.0, 3.0, False, 1)]) == []
    assert problems_of([lost, Operation(2.0, 3.0, False, 2)]) == []
    reads = [Operation(2.0, 3.0, False, 2), Operation(4.0, 5.0, False, 1)]
    assert problems_of([lost, *reads])


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    made = Group(tmp_path)
    made.start_all()
    made.bootstrap()
    yield made
    made.close()


class Worker:
    """Reads, or changes, through one node until told to stop; records each operation."""

    def __init__(self, group: Group, number: int, history: list[Operation]) -> None:
        self._number = number
        self._history = history
        self._client = group.client([group.nodes[number % 3]], timeout=2.0)
        self._count = 0

    def run(self, is_over: threading.Event) -> None:
        is_reader = self._number < CLIENTS // 2
        while not is_over.is_set():
            self._record(not is_reader, self._read if is_reader else self._change)
        self._client.close()

    def _record(self, is_change: bool, act: Callable[[], int | None]) -> None:
        begun = clock.now()
        try:
            revision = act()
        except ControlUnavailableError:
            revision = None
        self._history.append(Operation(begun, clock.now(), is_change, revision))

    def _read(self) -> int:
        return read_in_force(self._client).revision

    def _change(self) -> int | None:
        self._count += 1
        service = Service(name=f"s{self._number}", max_sessions=self._count)
        identity = f"{self._number}-{self._count}"
        result = submit(self._client, identity, self._read(), Difference((service,), ()))
        return result.revision if isinstance(result, Accepted) else None


def test_reads_and_changes_are_linearizable_while_nodes_are_frozen_and_killed(
    group: Group,
) -> None:
    history: list[Operation] = []
    is_over = threading.Event()
    workers = [Worker(group, number, history) for number in range(CLIENTS)]
    threads = [threading.Thread(target=worker.run, args=(is_over,)) for worker in workers]
    for thread in threads:
        thread.start()
    deadline = clock.now() + LONGEST_SECONDS
    try:
        disturb(group)
        while answered(history) < MIN_OPERATIONS and clock.now() < deadline:
            disturb(group)
    finally:
        is_over.set()
    for thread in threads:
        thread.join(timeout=60.0)
        assert not thread.is_alive()
    assert answered(history) >= MIN_OPERATIONS
    assert problems_of(history) == []


def answered(history: list[Operation]) -> int:
    return sum(item.revision is not None for item in list(history))


def disturb(group: Group) -> None:
    """Freeze the leader, then kill it, in turns; two of three nodes always run."""
    for number in range(FAULTS):
        leader: Node = group.leader()
        if number % 2 == 0:
            group.freeze(leader)
            time.sleep(1.5)
            group.thaw(leader)
        else:
            group.kill(leader)
            time.sleep(0.5)
            group.start(leader)
        time.sleep(0.5)
