"""Losses of as many machines at once as a group declares that it bears."""

from functools import partial

from finchshed.consensus.membership import MemberRole
from finchshed.proof.consensus.disk_faults import WHOLE_PATIENCE_SECONDS, whole_again
from finchshed.proof.consensus.group import Group
from finchshed.proof.consensus.node import SimulatedNode
from finchshed.proof.consensus.scheduler import Process

_SERVING_SECONDS = 10.0
"""Longest time in which nothing commits while no more is lost than must be borne."""

_DAY_SECONDS = 86_400.0


def losses_at_once(group: Group) -> Process:
    """Lose as many voters as must be borne at once: disks, power, links or processor.

    Others are disturbed meanwhile in ways that cost no disk. Commands must commit again soon, among
    the machines that weren't lost.
    """
    for _ in range(4):
        if not (yield from whole_again(group)):
            continue
        lost = group.rng.sample(_voting(group), group.tolerated_failures)
        committed = max(node.raft.commit_index for node in group.running)
        for node in lost:
            _lose(group, node)
        _disturb_another(group, lost)
        serves = yield from group.wait_until(
            partial(_has_committed, group, lost, committed), _SERVING_SECONDS
        )
        if not serves:
            group.observer.violated("nothing commits while no more is lost than must be borne")
            return
        yield from group.pause(0.0, 6.0)
        group.heal()


def all_off_with_disks_lost(group: Group) -> Process:
    """Take the power from all machines at once; some come back with empty disks."""
    for _ in range(3):
        if not (yield from whole_again(group)):
            continue
        wiped = group.rng.sample(_voting(group), group.tolerated_failures)
        for node in group.nodes.values():
            node.crash(power_lost=True)
        for node in wiped:
            node.lose_disk()
            group.observer.count("lost_disk")
        for node in group.nodes.values():
            group.restart_later(node, 0.0, 2.0)


def replaced_in_a_row(group: Group) -> Process:
    """Take each initial voter away for good, and put a new machine of another name in."""
    for name in group.voter_names:
        is_whole = yield from group.wait_until(group.is_whole, WHOLE_PATIENCE_SECONDS)
        if not is_whole:
            group.observer.violated("the group was not repaired in time")
            return
        yield from group.pause(0.0, 2.0)
        gone = group.nodes.pop(name)
        gone.crash(power_lost=True)
        key = f"new-{name}"
        group.scheduler.call_later(group.rng.uniform(0.1, 3.0), group.add_machine(key, key).start)
        yield from group.wait_until(partial(_is_out, group, name), 20.0)
    if _voter_names(group) & set(group.voter_names):
        group.observer.violated("a machine that is gone for good still votes")


def _is_out(group: Group, name: str) -> bool:
    return name not in _voter_names(group)


def _voter_names(group: Group) -> set[str]:
    leader = group.leader()
    if leader is None:
        return set(group.voter_names)
    return {voter.name for voter in leader.raft.membership.voters}


def _voting(group: Group) -> list[SimulatedNode]:
    leader = group.leader()
    if leader is None:
        return []
    voters = {
        member.identity
        for member in leader.raft.membership.members
        if member.role is MemberRole.VOTER
    }
    return [node for node in group.running if node.raft.identity in voters]


def _has_committed(group: Group, lost: list[SimulatedNode], index: int) -> bool:
    """Whether a machine that wasn't lost knows of a commit after ``index``."""
    return any(node.raft.commit_index > index for node in group.running if node not in lost)


def _lose(group: Group, node: SimulatedNode) -> None:
    """Lose a machine in one way or another; it may come back within seconds."""
    rng = group.rng
    choice = rng.random()
    if choice < 0.4:
        node.lose_disk()
        group.observer.count("lost_disk")
        group.restart_later(node, 0.2, 8.0)
    elif choice < 0.6:
        node.crash(power_lost=True)
        group.restart_later(node, 0.2, 8.0)
    elif choice < 0.8:
        group.network.isolate(node.key)
    else:
        node.freeze()
        group.scheduler.call_later(rng.uniform(1.0, 8.0), node.thaw)


def _disturb_another(group: Group, lost: list[SimulatedNode]) -> None:
    """Step the clock, slow the disk or cut one link of a machine that isn't lost."""
    rng = group.rng
    others = [node for node in group.nodes.values() if node not in lost]
    node = rng.choice(others)
    choice = rng.random()
    if choice < 0.3:
        node.clock_offset += rng.uniform(-_DAY_SECONDS, _DAY_SECONDS)
    elif choice < 0.6:
        node.disk_slowness = rng.choice((5.0, 20.0))
