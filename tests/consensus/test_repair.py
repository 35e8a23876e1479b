"""Repair of members after lost disks, and membership changes during failures."""

from collections.abc import Callable

import pytest

from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import AddMember, RemoveMember
from finchshed.consensus.messages import Envelope, NodeAnnouncement
from finchshed.proof.consensus.group import Group
from finchshed.proof.consensus.node import SimulatedNode
from finchshed.proof.consensus.scheduler import Process

TIMEOUT_SECONDS = 20.0


def wait_until(
    group: Group, condition: Callable[[], bool], timeout: float = TIMEOUT_SECONDS
) -> bool:
    waiting = group.scheduler.start(group.wait_until(condition, timeout))
    group.scheduler.run_until(waiting)
    return bool(waiting.value)


def start_group(voters: int = 3, spares: int = 0, seed: str = "repair") -> Group:
    group = Group(seed, voters, spares)
    group.start()
    assert wait_until(group, group.is_whole)
    return group


def followers(group: Group) -> list[SimulatedNode]:
    return [group.nodes[name] for name in group.voter_names if not group.nodes[name].is_leader]


def change_until(group: Group, change: AddMember | RemoveMember, done: Callable[[], bool]) -> None:
    def request_until_done() -> Process:
        while not done():
            leader = group.leader()
            if leader is not None:
                leader.change_membership(change)
            yield group.scheduler.sleep(0.2)

    group.scheduler.start(request_until_done())
    assert wait_until(group, done)


def voters(group: Group) -> set[str]:
    leader = group.leader()
    return {voter.name for voter in leader.raft.membership.voters} if leader else set()


def members(group: Group) -> set[str]:
    leader = group.leader()
    return {m.identity.name for m in leader.raft.membership.members} if leader else set()


@pytest.mark.parametrize("seed", range(10))
def test_second_disk_lost_once_the_first_has_caught_up(seed: int) -> None:
    group = start_group(seed=f"second/{seed}")
    first, second = followers(group)
    first.lose_disk()
    first.start()

    def has_caught_up() -> bool:
        leader = group.leader()
        return leader is not None and any(
            status.member.identity == first.raft.identity
            and status.match_index >= leader.raft.commit_index
            for status in leader.raft.member_statuses()
        )

    assert wait_until(group, has_caught_up)
    second.lose_disk()
    second.start()
    assert wait_until(group, group.is_whole)


def test_new_node_catches_up_from_a_leader_it_does_not_know() -> None:
    group = start_group(spares=2)
    for name in ("n4", "n5"):
        change_until(group, AddMember(name, voter=True), lambda name=name: name in members(group))
    assert wait_until(group, group.is_whole)
    for name in ("n1", "n2", "n3"):
        change_until(group, RemoveMember(name), lambda name=name: name not in members(group))
    assert wait_until(group, lambda: members(group) == {"n4", "n5"})
    lost = group.nodes["n1"]
    lost.lose_disk()
    lost.start()
    change_until(group, AddMember("n1", voter=True), lambda: "n1" in members(group))
    assert wait_until(group, group.is_whole)


def test_voter_that_missed_membership_changes_votes_for_an_unknown_candidate() -> None:
    group = start_group(spares=1)
    away = followers(group)[0]
    away.crash(power_lost=False)
    change_until(group, AddMember("n4", voter=True), lambda: "n4" in members(group))
    leader = group.leader()
    assert leader is not None
    assert wait_until(group, lambda: voters(group) == {"n1", "n2", "n3", "n4"})
    removed = next(name for name in group.voter_names if name not in (away.name, leader.name))
    change_until(group, RemoveMember(removed), lambda: removed not in members(group))
    away.start()
    leader.crash(power_lost=True)
    assert wait_until(group, lambda: group.nodes["n4"].is_leader)


@pytest.mark.parametrize("is_restarted", [False, True])
def test_leader_removes_itself_from_a_group_of_two_across_a_partition(is_restarted: bool) -> None:
    group = start_group()
    leader = group.leader()
    assert leader is not None
    first, last = followers(group)
    change_until(group, RemoveMember(first.name), lambda: first.name not in members(group))
    assert wait_until(group, group.is_whole)
    leader.change_membership(RemoveMember(leader.name))

    def cut_once_appended() -> Process:
        while leader.name in members(group):
            yield group.scheduler.sleep(0.0001)
        group.network.cut(leader.name, last.name)

    group.scheduler.run_until(group.scheduler.start(cut_once_appended()))
    assert wait_until(group, lambda: group.leader() is None)
    assert last.name in {voter.name for voter in last.raft.membership.voters}
    assert leader.name in {voter.name for voter in last.raft.membership.voters}
    if is_restarted:
        leader.crash(power_lost=False)
        leader.start()
    group.network.heal()
    assert wait_until(group, lambda: members(group) == {last.name})


def test_stale_announcement_of_a_dead_incarnation_supersedes_no_member() -> None:
    group = start_group()
    leader = group.leader()
    assert leader is not None
    node = followers(group)[0]
    dead = NodeIdentity(node.name, "dead")
    announcement = NodeAnnouncement(dead, node.address, formed=False)
    receiver = NodeIdentity(leader.name, "")
    group.network.send(node.name, leader.address, Envelope(dead, receiver, announcement))
    wait_until(group, lambda: False, timeout=0.5)
    node.freeze()
    wait_until(group, lambda: False, timeout=3.0)
    node.thaw()
    assert dead not in {member.identity for member in leader.raft.membership.members}
    assert wait_until(group, group.is_whole)


@pytest.mark.parametrize("seed", range(5))
def test_no_voter_is_removed_right_after_another_is_lost(seed: int) -> None:
    group = start_group(seed=f"remove/{seed}")
    lost, other = followers(group)
    leader = group.leader()
    assert leader is not None
    lost.lose_disk()
    leader.change_membership(RemoveMember(other.name))
    lost.start()
    assert wait_until(group, group.is_whole)
    assert voters(group) == {"n1", "n2", "n3"}
