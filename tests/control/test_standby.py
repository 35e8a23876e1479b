"""Promotion of a standby after voters are lost, with five voters and one standby."""

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import cast

import pytest

from finchshed.configuration.changes import Accepted
from finchshed.configuration.difference import Difference
from finchshed.configuration.resources import Service
from finchshed.ctl.changes import read_configuration, submit_change
from finchshed.rpc.generated import finchshed_pb2 as pb
from finchshed.runtime import clock
from tests.control.group import Group, Node

STANDBY_AFTER_SECONDS = 3.0
TIMEOUT_SECONDS = 60.0
VOTING = {"leader", "voter"}


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    made = Group(tmp_path, voters=5, spares=1, standby_after=STANDBY_AFTER_SECONDS)
    made.start_all(made.nodes)
    made.bootstrap()
    add_standby(made, made.nodes[5])
    yield made
    made.close()


def add_standby(group: Group, standby: Node) -> None:
    client = group.client(group.voters)
    request = pb.ReplaceMemberRequest(add=standby.name, standby=True)
    wait_until(
        lambda: cast(pb.ReplaceMemberResponse, client.call("ReplaceMember", request)).done,
        lambda: f"{standby.name} is not a member",
    )
    client.close()
    wait_until_roles(group, lambda roles: roles[standby.name] == "standby")


def roles_of(group: Group) -> dict[str, str]:
    """Return the members' roles by name as reported by the leader; empty without a leader."""
    client = group.client([node for node in group.nodes if node.process is not None])
    answers = client.call_each("Members", pb.MembersRequest())
    client.close()
    for _, answer in answers.answers:
        response = cast(pb.MembersResponse, answer)
        if response.leader == response.node:
            return {member.name: member.role for member in response.members}
    return {}


def wait_until(condition: Callable[[], bool], describe: Callable[[], object]) -> None:
    deadline = clock.now() + TIMEOUT_SECONDS
    while not condition():
        assert clock.now() < deadline, describe()
        time.sleep(0.05)


def wait_until_roles(group: Group, condition: Callable[[dict[str, str]], bool]) -> dict[str, str]:
    seen: list[dict[str, str]] = [{}]

    def holds() -> bool:
        seen.append(roles_of(group))
        return bool(seen[-1]) and condition(seen[-1])

    wait_until(holds, lambda: seen[-1])
    return seen[-1]


class ChangeSubmitter:
    """Submits numbered changes through the running nodes and checks that none is lost."""

    def __init__(self, group: Group) -> None:
        self._group = group
        self._count = 0

    def accept(self, count: int) -> None:
        running = [node for node in self._group.nodes if node.process is not None]
        client = self._group.client(running, timeout=TIMEOUT_SECONDS)
        for _ in range(count):
            change = Difference((Service(name=f"s{self._count}"),), ())
            result = submit_change(client, f"c{self._count}", 1 + self._count, change)
            self._count += 1
            assert result == Accepted(1 + self._count)
        names = {key.name for key in read_configuration(client).resources}
        client.close()
        assert {f"s{number}" for number in range(self._count)} <= names


def voters_in(roles: dict[str, str]) -> set[str]:
    return {name for name, role in roles.items() if role in VOTING}


def test_after_two_machines_are_lost_the_standby_makes_room_for_a_third_loss(
    group: Group,
) -> None:
    changes = ChangeSubmitter(group)
    changes.accept(5)
    standby = group.nodes[5]
    leader = group.leader()
    other, third, *_rest = (node for node in group.voters if node is not leader)
    group.kill(leader)
    group.kill(other)
    changes.accept(5)
    roles = wait_until_roles(group, lambda roles: standby.name in voters_in(roles))
    assert len(voters_in(roles)) == 5
    replaced = {leader.name, other.name} - voters_in(roles)
    assert len(replaced) == 1
    group.kill(third)
    changes.accept(5)
    for node in (leader, other, third):
        group.start(node)
    changes.accept(5)
    healed = wait_until_roles(group, lambda roles: len(voters_in(roles)) == 5)
    assert {name for name, role in healed.items() if role == "standby"} != set()
    assert healed.keys() == {node.name for node in group.nodes}


def test_a_machine_lost_just_after_a_replacement_began_stops_nothing(group: Group) -> None:
    changes = ChangeSubmitter(group)
    changes.accept(3)
    standby = group.nodes[5]
    leader = group.leader()
    first, second, *_ = (node for node in group.voters if node is not leader)
    group.kill(first)
    group.lose_disk(first)
    wait_until_roles(group, lambda roles: roles[first.name] == "standby")
    group.kill(second)
    changes.accept(5)
    roles = wait_until_roles(group, lambda roles: standby.name in voters_in(roles))
    assert len(voters_in(roles)) == 5
    group.start(first)
    changes.accept(5)
    wait_until_roles(
        group,
        lambda roles: second.name not in voters_in(roles) and first.name in voters_in(roles),
    )
    changes.accept(5)


def test_a_group_grows_to_its_declared_tolerance_and_outlives_two_of_those_it_was_formed_of(
    tmp_path: Path,
) -> None:
    group = Group(tmp_path, voters=3, spares=3, standby_after=STANDBY_AFTER_SECONDS)
    group.extra_settings = "admits_standbys = true\ntolerated_failures = 2\n"
    group.start_all(group.nodes)
    try:
        group.bootstrap()
        wait_until_roles(group, lambda roles: len(voters_in(roles)) == 5 and len(roles) == 6)
        changes = ChangeSubmitter(group)
        changes.accept(3)
        leader = group.leader()
        lost = next(node for node in group.voters if node is not leader)
        group.kill(leader)
        group.kill(lost)
        group.lose_disk(leader)
        group.lose_disk(lost)
        changes.accept(3)
    finally:
        group.close()
