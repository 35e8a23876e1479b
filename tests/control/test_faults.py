"""Concurrent operators while control node processes are killed and frozen."""

import functools
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import pytest

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.changes import Accepted, ChangeResult, Conflict
from finchshed.configuration.difference import Difference
from finchshed.configuration.resources import Operator, ResourceKey, Service
from finchshed.ctl.changes import read_configuration, submit_change
from finchshed.ctl.client import OperatorClient
from finchshed.rpc.generated import finchshed_pb2 as pb
from finchshed.runtime import clock
from tests.control.group import Group, Node, apply_one, digest

RACERS = 6
ROUNDS = 8
READERS = 8
BEN_TOKEN = "secret of ben"
JOIN_SECONDS = 60.0


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    made = Group(tmp_path)
    made.start_all()
    yield made
    made.close()


def wait_for(condition: Callable[[], bool]) -> None:
    deadline = clock.now() + JOIN_SECONDS
    while not condition():
        assert clock.now() < deadline
        time.sleep(0.001)


def run_all(workers: Sequence[Callable[[], None]], meanwhile: Callable[[], None]) -> None:
    threads = [threading.Thread(target=worker) for worker in workers]
    for thread in threads:
        thread.start()
    meanwhile()
    for thread in threads:
        thread.join(timeout=JOIN_SECONDS)
        assert not thread.is_alive()


def submit_once(group: Group, nodes: list[Node], number: int) -> ChangeResult | None:
    """Submit change ``number``; return None if no control node answered."""
    client = group.client(nodes, timeout=1.0)
    change = Difference((Service(name=f"s{number}", max_sessions=number),), ())
    try:
        return submit_change(client, f"change-{number}", number + 1, change)
    except ControlUnavailableError:
        return None
    finally:
        client.close()


def result_through(group: Group, node: Node, number: int) -> ChangeResult:
    client = group.client([node])
    change = Difference((Service(name=f"s{number}", max_sessions=number),), ())
    try:
        return submit_change(client, f"change-{number}", number + 1, change)
    finally:
        client.close()


def test_a_change_in_progress_when_the_leader_is_killed_has_one_result_at_every_node(
    group: Group,
) -> None:
    assert group.bootstrap() == 1
    leader = group.leader()
    answered: dict[int, ChangeResult | None] = {}
    is_killed = threading.Event()

    def submit_until_killed() -> None:
        number = 0
        while not is_killed.is_set():
            answered[number] = submit_once(group, [leader], number)
            number += 1

    def kill() -> None:
        wait_for(lambda: len(answered) >= 15)
        group.kill(leader)
        is_killed.set()

    run_all([submit_until_killed], kill)
    others = [node for node in group.nodes if node is not leader]
    group.start(leader)
    for number, first in answered.items():
        results = [result_through(group, node, number) for node in (*others, leader)]
        assert results == [results[0]] * 3
        assert first in (None, results[0])
    assert sum(result is not None for result in answered.values()) >= 14


def test_changes_answered_before_all_nodes_are_killed_at_once_are_in_force_after(
    group: Group,
) -> None:
    assert group.bootstrap() == 1
    group.leader()
    answered: dict[int, ChangeResult | None] = {}
    are_killed = threading.Event()

    def submit_until_killed() -> None:
        number = 0
        while not are_killed.is_set():
            answered[number] = submit_once(group, group.nodes, number)
            number += 1

    def kill() -> None:
        wait_for(lambda: len(answered) >= 15)
        for node in group.nodes:
            group.kill(node)
        are_killed.set()

    run_all([submit_until_killed], kill)
    group.start_all()
    client = group.client()
    in_force = read_configuration(client)
    client.close()
    accepted = [number for number, result in answered.items() if isinstance(result, Accepted)]
    assert len(accepted) >= 14
    assert in_force.revision >= 1 + len(accepted)
    assert {f"s{number}" for number in accepted} <= {key.name for key in in_force.resources}
    for number in accepted:
        assert result_through(group, group.nodes[number % 3], number) == answered[number]


def test_reads_that_waited_in_a_frozen_leader_are_never_answered_from_its_old_state(
    group: Group,
) -> None:
    group.bootstrap(Service(name="old"))
    leader = group.leader()
    others = [node for node in group.nodes if node is not leader]
    group.freeze(leader)
    client = group.client(others)
    assert isinstance(apply_one(client, "while-frozen", Service(name="new")), Accepted)
    revision = read_configuration(client).revision
    read: list[int] = []
    statuses: list[pb.StatusResponse] = []

    def read_from_frozen() -> None:
        reader = group.client([leader])
        read.append(read_configuration(reader).revision)
        reader.close()

    def ask_status() -> None:
        reader = group.client([leader])
        status = reader.call("Status", pb.StatusRequest())
        assert isinstance(status, pb.StatusResponse)
        statuses.append(status)
        reader.close()

    def thaw() -> None:
        time.sleep(1.0)  # longer than the lease; requests queue up at the frozen node
        group.thaw(leader)

    run_all([read_from_frozen] * READERS + [ask_status] * READERS, thaw)
    assert len(read) == READERS
    assert len(statuses) == READERS
    assert all(number >= revision for number in read)
    assert all(status.revision >= revision for status in statuses if status.confirmed)
    assert group.leader() in others


def race(clients: list[OperatorClient], title: str, revision: int) -> dict[int, ChangeResult]:
    """Submit one change per client concurrently against the same revision."""
    results: dict[int, ChangeResult] = {}
    barrier = threading.Barrier(len(clients))

    def submit_own(racer: int) -> None:
        change = Difference((Service(name=f"by-{racer}", max_sessions=revision),), ())
        barrier.wait()
        results[racer] = submit_change(clients[racer], f"{title}-{racer}", revision, change)

    workers = [functools.partial(submit_own, racer) for racer in range(len(clients))]
    run_all(workers, lambda: None)
    return results


def test_in_each_round_of_racing_operators_one_wins_and_the_others_learn_its_name(
    group: Group,
) -> None:
    revision = group.bootstrap(Operator(name="ben", token_sha256=digest(BEN_TOKEN)))
    group.leader()
    tokens = {"ana": "operator-secret", "ben": BEN_TOKEN}
    clients = [
        group.client([group.nodes[racer % 3]], tokens["ana" if racer % 2 else "ben"])
        for racer in range(RACERS)
    ]
    for number in range(ROUNDS):
        results = race(clients, f"round-{number}", revision)
        winners = [racer for racer, result in results.items() if isinstance(result, Accepted)]
        assert len(winners) == 1
        name = "ana" if winners[0] % 2 else "ben"
        lost = Conflict(revision + 1, f"round-{number}-{winners[0]}", name)
        assert all(results[racer] == lost for racer in range(RACERS) if racer != winners[0])
        revision += 1
    client = group.client()
    in_force = read_configuration(client)
    assert in_force.revision == revision
    assert len([key for key in in_force.resources if key.kind == "service"]) <= ROUNDS
    for client in clients:
        client.close()


def test_a_follower_that_was_frozen_while_all_others_went_on_answers_reads_in_full(
    group: Group,
) -> None:
    group.bootstrap()
    leader = group.leader()
    frozen = next(node for node in group.nodes if node is not leader)
    group.freeze(frozen)
    client = group.client([node for node in group.nodes if node is not frozen])
    for number in range(250):  # more than snapshot_entries, so that the follower needs a snapshot
        change = Difference((Service(name="s", max_sessions=number),), ())
        assert isinstance(submit_change(client, f"c{number}", 1 + number, change), Accepted)
    group.thaw(frozen)
    woken = group.client([frozen])
    service = read_configuration(woken).resources[ResourceKey("service", "s")]
    assert isinstance(service, Service)
    assert service.max_sessions == 249
