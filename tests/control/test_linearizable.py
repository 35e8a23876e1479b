"""Guards against reads that miss ended changes or show unstarted ones during node faults."""

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
from finchshed.ctl.changes import read_configuration, submit_change
from finchshed.runtime import clock
from tests.control.group import Group, Node

CLIENTS = 6
FAULTS_PER_ROUND = 4
MIN_OPERATIONS = 100
"""Minimum number of answered operations for a meaningful history."""

MAX_FAULT_SECONDS = 90.0
"""Time limit of fault injection if there are too few answered operations."""


class Operation(msgspec.Struct):
    """Recorded operation. ``revision`` is None for a conflict or an unknown outcome."""

    started_at: float
    ended_at: float
    is_change: bool
    revision: int | None


def problems_of(history: list[Operation]) -> list[str]:
    """Return the violations of linearizability; the initial revision is 1."""
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
            if other.revision is not None and other.ended_at < item.started_at
        ]
        least = max(before, default=1) + (1 if item.is_change and before else 0)
        changes_started = sum(
            other.is_change and other.started_at <= item.ended_at for other in history
        )
        if not least <= item.revision <= 1 + changes_started:
            problems.append(f"{item}: allowed are {least} to {1 + changes_started}")
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
    """Reads or changes through one node until stopped; records each operation."""

    def __init__(self, group: Group, number: int, history: list[Operation]) -> None:
        self._number = number
        self._history = history
        self._client = group.client([group.nodes[number % 3]], timeout=2.0)
        self._count = 0

    def run(self, stop_event: threading.Event) -> None:
        is_reader = self._number < CLIENTS // 2
        while not stop_event.is_set():
            self._record(not is_reader, self._read if is_reader else self._change)
        self._client.close()

    def _record(self, is_change: bool, act: Callable[[], int | None]) -> None:
        started_at = clock.now()
        try:
            revision = act()
        except ControlUnavailableError:
            revision = None
        self._history.append(Operation(started_at, clock.now(), is_change, revision))

    def _read(self) -> int:
        return read_configuration(self._client).revision

    def _change(self) -> int | None:
        self._count += 1
        service = Service(name=f"s{self._number}", max_sessions=self._count)
        identity = f"{self._number}-{self._count}"
        result = submit_change(self._client, identity, self._read(), Difference((service,), ()))
        return result.revision if isinstance(result, Accepted) else None


def test_reads_and_changes_are_linearizable_while_nodes_are_frozen_and_killed(
    group: Group,
) -> None:
    history: list[Operation] = []
    stop_event = threading.Event()
    workers = [Worker(group, number, history) for number in range(CLIENTS)]
    threads = [threading.Thread(target=worker.run, args=(stop_event,)) for worker in workers]
    for thread in threads:
        thread.start()
    deadline = clock.now() + MAX_FAULT_SECONDS
    try:
        inject_faults(group)
        while count_answered(history) < MIN_OPERATIONS and clock.now() < deadline:
            inject_faults(group)
    finally:
        stop_event.set()
    for thread in threads:
        thread.join(timeout=60.0)
        assert not thread.is_alive()
    assert count_answered(history) >= MIN_OPERATIONS
    assert problems_of(history) == []


def count_answered(history: list[Operation]) -> int:
    return sum(item.revision is not None for item in list(history))


def inject_faults(group: Group) -> None:
    """Alternately freeze and kill the leader; two of three nodes always run."""
    for number in range(FAULTS_PER_ROUND):
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
