"""A group grows from its initial voters to the size that its declared fault tolerance needs."""

import random

import msgspec
import pytest

from finchshed.consensus.membership import MemberRole
from finchshed.consensus.options import RaftOptions
from finchshed.proof.consensus.clients import Client, OperationHistory
from finchshed.proof.consensus.group import Group
from finchshed.proof.consensus.node import SimulatedNode
from finchshed.proof.consensus.register import Change, ChangeResult
from finchshed.proof.consensus.requests import NotTaken
from tests.consensus.test_standby import roles, sleep, voters, wait_until

STANDBY_SECONDS = 3.0
ZONES = ("a", "b", "c", "d", "e", "f")


def start_growing_group(seed: str, nodes: int, tolerated: int, timeout: float = 6.0) -> Group:
    """Start a group of three initial voters and ``nodes - 3`` standbys, spread over six zones."""
    group = Group(seed, 3, nodes - 3)
    options = msgspec.structs.replace(
        RaftOptions(),
        admits_standbys=True,
        standby_after_seconds=STANDBY_SECONDS,
        tolerated_failures=tolerated,
        growth_timeout_seconds=timeout,
    )
    for number, node in enumerate(group.nodes.values()):
        node._options = options
        node.zone = ZONES[number % len(ZONES)]
    group.start()
    return group


def voting_nodes(group: Group) -> list[SimulatedNode]:
    """Return the voters of the committed membership, also while a change is in progress."""
    leader = group.leader()
    assert leader is not None
    membership = leader.raft.log.membership_at(leader.raft.commit_index)
    return [group.nodes[name] for name in sorted(voter.name for voter in membership.voters)]


def change(group: Group, seed: int, timeout: float = 20.0) -> ChangeResult | None:
    """Make one change through any node."""
    client = Client(f"c{seed}", group, OperationHistory(), random.Random(seed))
    running = group.scheduler.start(client.change())
    group.scheduler.run_until(running)
    return running.value


def ask_leader(group: Group, name: str) -> object:
    """Propose a change to the leader; return its reply, or None if it does not reply in time."""
    leader = group.leader()
    assert leader is not None
    pending = leader.propose(Change(name, 0))
    wait_until(group, lambda: pending.triggered, 2.0)
    return pending.value if pending.triggered else None


@pytest.mark.parametrize(("tolerated", "size"), [(0, 3), (1, 3), (2, 5)])
@pytest.mark.parametrize("nodes", [6, 12])
def test_group_grows_to_tolerate_declared_failures(tolerated: int, size: int, nodes: int) -> None:
    group = start_growing_group(f"size/{tolerated}/{nodes}", nodes, tolerated)
    assert wait_until(group, lambda: len(voters(group)) == size and len(roles(group)) == nodes, 5.0)
    sleep(group, 3 * STANDBY_SECONDS)
    assert len(voters(group)) == size
    assert not group.observer.violations


@pytest.mark.parametrize("seed", range(5))
def test_voters_are_spread_over_zones(seed: int) -> None:
    group = start_growing_group(f"zones/{seed}", 12, 2)
    assert wait_until(group, lambda: len(voters(group)) == 5, 5.0)
    zones = [node.zone for node in voting_nodes(group)]
    assert len(set(zones)) == 5


@pytest.mark.parametrize("seed", range(5))
def test_undersized_group_refuses_commands(seed: int) -> None:
    group = start_growing_group(f"gate/{seed}", 6, 2)
    for name in ("n4", "n5", "n6"):
        group.nodes[name].freeze()
    assert wait_until(group, lambda: len(voters(group)) == 3, 5.0)
    assert isinstance(ask_leader(group, "early"), NotTaken)
    for name in ("n4", "n5", "n6"):
        group.nodes[name].thaw()
    assert wait_until(group, lambda: len(voters(group)) == 5, 5.0)
    assert isinstance(ask_leader(group, "whole"), ChangeResult)


def test_group_with_too_few_machines_serves_after_growth_timeout() -> None:
    group = start_growing_group("few", 4, 2, timeout=2.0)
    assert wait_until(group, lambda: len(voters(group)) == 4, 5.0)
    sleep(group, 3.0)
    assert isinstance(ask_leader(group, "few"), ChangeResult)


@pytest.mark.parametrize("seed", range(10))
def test_isolating_two_initial_voters_does_not_delay_changes(seed: int) -> None:
    group = start_growing_group(f"dark/{seed}", 12, 2)
    assert wait_until(group, lambda: len(voters(group)) == 5, 5.0)
    for name in random.Random(seed).sample(["n1", "n2", "n3"], 2):
        group.network.isolate(name)
    started = group.scheduler.now
    assert change(group, seed) is not None
    assert group.scheduler.now - started < 4.0
    assert not group.observer.violations


@pytest.mark.parametrize("seed", range(20))
def test_losing_two_disks_after_acknowledgement_loses_no_change(seed: int) -> None:
    group = start_growing_group(f"wiped/{seed}", 12, 2)
    assert wait_until(group, lambda: len(voters(group)) == 5, 5.0)
    chosen = random.Random(seed)
    for step in range(3):
        result = change(group, 10 * seed + step)
        assert result is not None
        lost = chosen.sample(voting_nodes(group), 2)
        for node in lost:
            node.lose_disk()
        for node in group.running:
            if node not in lost and chosen.random() < 0.5:
                node.crash(power_lost=True)
                group.restart_later(node, 0.1, 0.5)
        for node in lost:
            group.restart_later(node, 0.2, 1.0)
        assert wait_until(group, lambda: group.is_whole() and len(voters(group)) == 5, 20.0)
        leader = group.leader()
        assert leader is not None
        assert result.winner in leader.register.winners
    assert not group.observer.violations


@pytest.mark.parametrize("seed", range(10))
def test_all_initial_voters_are_replaced_in_turn(seed: int) -> None:
    """Each voter is removed permanently once the group has its full size again."""
    group = start_growing_group(f"replaced/{seed}", 6, 2)
    assert wait_until(group, lambda: len(voters(group)) == 5, 5.0)
    for number, name in enumerate(("n1", "n2", "n3")):
        removed = group.nodes.pop(name)
        removed.crash(power_lost=True)
        added = group.add_machine(f"m{number}", f"m{number}")
        added._options = removed._options
        added.zone = removed.zone
        added.start()
        assert wait_until(group, lambda removed=removed: _is_replaced(group, removed), 20.0)
        assert change(group, 10 * seed + number) is not None
    assert not group.observer.violations


def _is_replaced(group: Group, removed: SimulatedNode) -> bool:
    return removed.name not in voters(group) and len(voters(group)) == 5


def test_member_keeps_its_zone_across_role_changes() -> None:
    group = start_growing_group("kept", 6, 1)
    assert wait_until(group, lambda: len(roles(group)) == 6, 5.0)
    lost = next(node for node in voting_nodes(group) if not node.is_leader)
    lost.crash(power_lost=True)
    assert wait_until(group, lambda: lost.name not in voters(group), 10.0)
    leader = group.leader()
    assert leader is not None
    members = leader.raft.membership.members
    assert {m.identity.name: m.zone for m in members} == {
        node.name: node.zone for node in group.nodes.values()
    }
    assert sum(m.role is MemberRole.VOTER for m in members) in (2, 3)
