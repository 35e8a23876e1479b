"""Fault tolerance of a control group of separate processes with data on disk."""

import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.changes import Accepted, Conflict
from finchshed.configuration.difference import Difference
from finchshed.configuration.resources import ResourceKey, Service
from finchshed.ctl.changes import read_configuration, submit_change
from finchshed.rpc.generated import finchshed_pb2 as pb
from finchshed.runtime import clock
from tests.control.group import Group, apply_one


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    made = Group(tmp_path)
    made.start_all()
    yield made
    made.close()


def names(group: Group) -> set[str]:
    client = group.client()
    resources = read_configuration(client).resources
    client.close()
    return {key.name for key in resources if key.kind == "service"}


def test_accepted_changes_survive_kill_of_the_leader_amid_applies(group: Group) -> None:
    group.bootstrap()
    accepted: list[str] = []

    def apply_many() -> None:
        client = group.client()
        for number in range(60):
            result = apply_one(client, f"change-{number}", Service(name=f"s{number}"))
            assert isinstance(result, Accepted)
            accepted.append(f"s{number}")
        client.close()

    thread = threading.Thread(target=apply_many)
    thread.start()
    while len(accepted) < 20 and thread.is_alive():
        time.sleep(0.01)
    leader = group.leader()
    group.kill(leader)
    thread.join(timeout=60)
    group.start(leader)
    assert len(accepted) == 60
    assert set(accepted) == names(group)


def test_a_frozen_leader_is_replaced_and_reverts_nothing_when_it_wakes(group: Group) -> None:
    group.bootstrap()
    leader = group.leader()
    group.freeze(leader)
    others = [node for node in group.nodes if node is not leader]
    client = group.client(others)
    assert isinstance(apply_one(client, "while-frozen", Service(name="new")), Accepted)
    revision = read_configuration(client).revision
    group.thaw(leader)
    woken = group.client([leader])
    state = read_configuration(woken)
    assert state.revision >= revision
    assert ResourceKey("service", "new") in state.resources


def test_of_changes_racing_through_different_nodes_exactly_one_wins(group: Group) -> None:
    revision = group.bootstrap()
    group.leader()
    results: dict[str, object] = {}

    def race(number: int) -> None:
        client = group.client([group.nodes[number % 3]])
        change = Difference((Service(name=f"racer-{number}"),), ())
        results[f"race-{number}"] = submit_change(client, f"race-{number}", revision, change)
        client.close()

    threads = [threading.Thread(target=race, args=(number,)) for number in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(timeout=30)
    winners = [name for name, result in results.items() if isinstance(result, Accepted)]
    losers = [result for result in results.values() if isinstance(result, Conflict)]
    assert len(winners) == 1
    assert len(losers) == 5
    assert {loser.winner_change_id for loser in losers} == set(winners)


def test_restart_of_all_at_once_after_600_changes_keeps_state_and_first_results(
    group: Group,
) -> None:
    group.bootstrap()
    client = group.client()
    revision = read_configuration(client).revision
    for number in range(600):
        change = Difference((Service(name=f"s{number % 50}", max_sessions=number),), ())
        assert submit_change(client, f"change-{number}", revision, change) == Accepted(revision + 1)
        revision += 1
    before = read_configuration(client)
    for node in group.nodes:
        group.kill(node)
    group.start_all()
    after = read_configuration(client)
    assert after == before
    change = Difference((Service(name="s49", max_sessions=599),), ())
    assert submit_change(client, "change-599", revision - 1, change) == Accepted(revision)


def test_a_node_that_lost_its_disk_comes_back_as_a_voter(group: Group) -> None:
    group.bootstrap(Service(name="before"))
    leader = group.leader()
    lost = next(node for node in group.nodes if node is not leader)
    old = incarnations(group)[lost.name]
    group.kill(lost)
    group.lose_disk(lost)
    group.start(lost)
    wait_until_voter(group, lost.name, old)
    kept = next(node for node in group.nodes if node not in (leader, lost))
    group.kill(kept)
    client = group.client([leader, lost])
    assert isinstance(apply_one(client, "after-repair", Service(name="after")), Accepted)
    assert names(group) == {"before", "after"}


def test_second_machine_lost_before_the_first_is_repaired_loses_no_accepted_change(
    group: Group,
) -> None:
    group.bootstrap(*(Service(name=f"s{number}") for number in range(20)))
    leader = group.leader()
    first, second = (node for node in group.nodes if node is not leader)
    group.kill(first)
    group.kill(second)
    group.lose_disk(first)
    group.start(first)
    client = group.client([leader, first], timeout=3.0)
    with pytest.raises(ControlUnavailableError):
        apply_one(client, "without-quorum", Service(name="never"))
    group.start(second)
    assert {f"s{number}" for number in range(20)} <= names(group)


def members_of(group: Group) -> list[pb.Member]:
    client = group.client([node for node in group.nodes if node.process is not None])
    said = client.call_each("Members", pb.MembersRequest())
    client.close()
    leading = [answer for _, answer in said.answers if answer.node == answer.leader]
    return list(leading[0].members) if leading else []


def incarnations(group: Group) -> dict[str, str]:
    return {member.name: member.incarnation for member in members_of(group)}


def wait_until_voter(group: Group, name: str, old_incarnation: str) -> None:
    deadline = clock.now() + 30.0
    while clock.now() < deadline:
        members = members_of(group)
        own = [member for member in members if member.name == name]
        if len(members) == 3 and own[0].incarnation != old_incarnation and own[0].role == "voter":
            return
        time.sleep(0.1)
    raise AssertionError(f"{name} is not a voter with a new incarnation within 30 s")


def test_a_planned_stop_of_the_leader_loses_no_change(group: Group) -> None:
    group.bootstrap()
    client = group.client()
    accepted = []
    for number in range(30):
        if number in (10, 20):
            leader = group.leader()
            assert group.stop(leader) == 0
            group.start(leader)
        result = apply_one(client, f"change-{number}", Service(name=f"s{number}"))
        assert isinstance(result, Accepted)
        accepted.append(f"s{number}")
    assert names(group) == set(accepted)
