"""Standbys replace silent voters."""

from collections.abc import Callable

import pytest

from finchshed.consensus.membership import AddMember, MemberRole
from finchshed.proof.consensus.group import OPTIONS, Group
from finchshed.proof.consensus.node import SimulatedNode
from finchshed.proof.consensus.scheduler import Process

TIMEOUT_SECONDS = 4 * OPTIONS.standby_after_seconds


def wait_until(
    group: Group, condition: Callable[[], bool], timeout: float = TIMEOUT_SECONDS
) -> bool:
    waiting = group.scheduler.start(group.wait_until(condition, timeout))
    group.scheduler.run_until(waiting)
    return bool(waiting.value)


def sleep(group: Group, seconds: float) -> None:
    wait_until(group, lambda: False, seconds)


def roles(group: Group) -> dict[str, str]:
    leader = group.leader()
    if leader is None or leader.raft.log.membership_index > leader.raft.commit_index:
        return {}
    return {
        member.identity.name: "promoted" if member.promote else member.role.value
        for member in leader.raft.membership.members
    }


def voters(group: Group) -> set[str]:
    return {name for name, role in roles(group).items() if role == "voter"}


def start_group(seed: str, spares: int = 1) -> Group:
    """Start a group of five voters and ``spares`` standbys."""
    group = Group(seed, 5, spares)
    group.start()
    assert wait_until(group, group.is_whole)
    standbys = {f"n{6 + number}" for number in range(spares)}

    def request_standbys() -> Process:
        while not standbys <= roles(group).keys():
            leader = group.leader()
            for name in standbys - roles(group).keys():
                if leader is not None:
                    leader.change_membership(AddMember(name, voter=False))
            yield group.scheduler.sleep(0.2)

    group.scheduler.start(request_standbys())
    assert wait_until(group, lambda: standbys <= roles(group).keys())
    return group


def followers(group: Group) -> list[SimulatedNode]:
    leader = group.leader()
    return [node for node in group.nodes.values() if node is not leader and node.name != "n6"]


@pytest.mark.parametrize("seed", range(5))
def test_silent_voter_is_replaced_and_returns_as_standby(seed: int) -> None:
    group = start_group(f"silent/{seed}")
    lost = followers(group)[0]
    lost.crash(power_lost=True)
    sleep(group, OPTIONS.standby_after_seconds / 2)
    assert voters(group) == {"n1", "n2", "n3", "n4", "n5"}
    assert wait_until(group, lambda: "n6" in voters(group))
    expected = {"n1", "n2", "n3", "n4", "n5", "n6"} - {lost.name}
    assert voters(group) == expected
    lost.start()
    sleep(group, TIMEOUT_SECONDS)
    assert voters(group) == expected
    assert roles(group)[lost.name] == MemberRole.LEARNER
    assert not group.observer.violations


@pytest.mark.parametrize("seed", range(5))
def test_returned_voter_replaces_the_next_lost_voter(seed: int) -> None:
    group = start_group(f"next/{seed}")
    first, second, *_ = followers(group)
    first.crash(power_lost=False)
    assert wait_until(group, lambda: "n6" in voters(group))
    second.crash(power_lost=True)
    first.lose_disk()
    first.start()
    assert wait_until(group, lambda: first.name in voters(group))
    assert second.name not in voters(group)
    assert len(voters(group)) == 5
    assert not group.observer.violations


@pytest.mark.parametrize("seed", range(5))
def test_standby_lost_during_promotion_is_replaced_by_another(seed: int) -> None:
    group = start_group(f"lost-standby/{seed}", spares=2)
    lost = followers(group)[0]
    if lost.name == "n7":
        lost = followers(group)[1]
    lost.crash(power_lost=True)
    standbys = ("n6", "n7")

    def is_chosen(name: str) -> bool:
        return roles(group).get(name) in ("promoted", "voter")

    assert wait_until(group, lambda: any(map(is_chosen, standbys)))
    chosen = next(filter(is_chosen, standbys))
    group.nodes[chosen].crash(power_lost=True)
    other = "n7" if chosen == "n6" else "n6"
    assert wait_until(group, lambda: other in voters(group))
    assert not group.observer.violations


@pytest.mark.parametrize("seed", range(5))
def test_one_standby_and_two_lost_voters_keep_the_group_size(seed: int) -> None:
    group = start_group(f"two/{seed}")
    first, second, third, *_ = followers(group)
    first.crash(power_lost=True)
    second.crash(power_lost=True)
    assert wait_until(group, lambda: "n6" in voters(group))
    sleep(group, TIMEOUT_SECONDS)
    assert len(voters(group)) == 5
    third.crash(power_lost=True)
    assert wait_until(group, lambda: group.leader() is not None and bool(roles(group)))
    assert not group.observer.violations


def test_no_voter_is_replaced_without_a_caught_up_standby() -> None:
    group = start_group("none")
    lost, *_ = followers(group)
    group.nodes["n6"].freeze()
    lost.crash(power_lost=True)
    sleep(group, TIMEOUT_SECONDS)
    assert voters(group) == {"n1", "n2", "n3", "n4", "n5"}
    group.nodes["n6"].thaw()
    assert wait_until(group, lambda: "n6" in voters(group))


@pytest.mark.parametrize("offset", range(8))
def test_standby_that_stops_at_the_replacement_is_replaced_by_another(
    offset: int,
) -> None:
    """The standby stops around the replacement, while it may still count as responsive."""
    group = start_group(f"at-the-swap/{offset}", spares=2)
    lost = next(node for node in followers(group) if node.name != "n7")
    lost.crash(power_lost=True)
    sleep(group, OPTIONS.standby_after_seconds - 1.3 + 0.1 * offset)
    for name in ("n6", "n7"):
        group.nodes[name].freeze()
    wait_until(group, lambda: "promoted" in roles(group).values(), 2.0)
    learners = {name for name in ("n6", "n7") if roles(group).get(name) == "learner"}
    other = min(learners)
    group.nodes[other].thaw()
    assert wait_until(group, lambda: other in voters(group))
    assert len(voters(group)) == 5
    assert not group.observer.violations
