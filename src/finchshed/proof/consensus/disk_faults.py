"""Faults of disks, and processes that end in the middle of a write."""

from collections.abc import Callable

from finchshed.consensus.membership import MemberRole, RemoveMember
from finchshed.proof.consensus.group import UNLIMITED_BYTES, Group, fill_disk
from finchshed.proof.consensus.network import LinkQuality
from finchshed.proof.consensus.node import SimulatedNode
from finchshed.proof.consensus.scheduler import Process

WHOLE_PATIENCE_SECONDS = 20.0
"""Longest wait until a group is whole again, seconds."""


def whole_again(group: Group) -> Process:
    """Wait until the group is whole, and a while more; the process returns whether it still is.

    A group that isn't whole in time has broken a promise.
    """
    is_whole = yield from group.wait_until(group.is_whole, WHOLE_PATIENCE_SECONDS)
    if not is_whole:
        group.observer.violated("the group was not repaired in time")
        return False
    yield from group.pause(0.0, 2.0)
    return group.is_whole()


def crashes(group: Group) -> Process:
    """Kill processes, or take the power from machines, in the middle of writes."""
    for _ in range(12):
        node = group.some_node()
        power_lost = group.rng.random() < 0.6
        if group.rng.random() < 0.7:
            node.crash_in_next_write(power_lost)
            yield from group.wait_until(_is_down(node), 2.0)
        node.crash(power_lost)
        group.restart_later(node, 0.01, 2.0)
        yield from group.pause(0.05, 3.0)


def all_restarted(group: Group) -> Process:
    """Take the power from all machines at once, again and again."""
    for _ in range(6):
        group.slow_disks()
        yield from group.pause(0.3, 5.0)
        power_lost = group.rng.random() < 0.8
        in_write = group.some_node()
        in_write.crash_in_next_write(power_lost)
        yield from group.wait_until(_is_down(in_write), 1.0)
        for node in group.nodes.values():
            node.crash(power_lost)
        for node in group.nodes.values():
            group.restart_later(node, 0.0, 3.0)


def bit_rot(group: Group) -> Process:
    """Change bits on one disk after the other, each after the last was repaired."""
    for _ in range(3):
        if not (yield from whole_again(group)):
            continue
        node = group.some_voter()
        for _bit in range(group.rng.randint(1, 3)):
            node.disk.flip_bit()
        node.crash(power_lost=group.rng.random() < 0.5)
        group.observer.count("bit_rot")
        group.restart_later(node, 0.0, 2.0)


def full_disks(group: Group) -> Process:
    """Let disks run full, of the leader and of others, for a while."""
    for _ in range(5):
        full = {group.some_node().key for _ in range(group.rng.randint(1, 2))}
        for name in sorted(full):
            fill_disk(group.nodes[name].disk, group.rng.randint(0, 2000))
        yield from group.pause(0.5, 6.0)
        if group.rng.random() < 0.3:
            node = group.nodes[min(full)]
            node.crash(power_lost=group.rng.random() < 0.5)
            group.restart_later(node, 0.1, 2.0)
            yield from group.pause(0.0, 2.0)
        for name in sorted(full):
            group.nodes[name].disk.capacity_bytes = UNLIMITED_BYTES
        yield from group.pause(0.0, 2.0)


def lost_disks(group: Group) -> Process:
    """Lose one disk after the other, each after the last was repaired."""
    for _ in range(3):
        if not (yield from whole_again(group)):
            continue
        node = group.some_voter()
        node.lose_disk()
        group.observer.count("lost_disk")
        group.restart_later(node, 0.0, 3.0)


def second_loss(group: Group) -> Process:
    """Lose a disk, and then a second machine while the first is under repair.

    The second machine loses its power before the first has caught up, or its disk as soon as the
    first has, or an operator tries to remove it meanwhile. Messages are slow, so that the repair
    takes time.
    """
    yield from group.wait_until(group.is_whole, WHOLE_PATIENCE_SECONDS)
    group.network.quality = LinkQuality(delay_min=0.005, delay_max=group.rng.choice((0.02, 0.1)))
    yield from group.pause(1.0, 6.0)
    first = group.some_voter()
    first.lose_disk()
    yield from group.pause(0.1, 2.0)
    first.start()
    choice = group.rng.random()
    if choice < 0.2:
        yield from _remove_another(group, first)
    elif choice < 0.6:
        yield from group.pause(0.0, 3.0)
        crashed = _another_voter(group, first)
        crashed.crash(power_lost=True)
        group.observer.count("second_machine_lost_during_repair")
        group.restart_later(crashed, 1.0, 8.0)
    else:
        yield from group.wait_until(lambda: _has_caught_up(group, first), WHOLE_PATIENCE_SECONDS)
        yield from group.pause(0.0, 0.3)
        second = _another_follower(group, first)
        if second is not None and _has_caught_up(group, first):
            second.lose_disk()
            group.observer.count("second_disk_lost_after_catching_up")
            group.restart_later(second, 1.0, 8.0)
    yield from group.pause(5.0, 12.0)


def _is_down(node: SimulatedNode) -> Callable[[], bool]:
    return lambda: not node.is_running


def _remove_another(group: Group, first: SimulatedNode) -> Process:
    """Ask again and again to remove another voter, as an operator may who replaces machines."""
    name = _another_voter(group, first).name
    for _ in range(30):
        leader = group.leader()
        if leader is not None:
            leader.change_membership(RemoveMember(name))
        yield from group.pause(0.05, 0.2)


def _another_voter(group: Group, first: SimulatedNode) -> SimulatedNode:
    names = [name for name in group.voter_names if name != first.name]
    return group.nodes[group.rng.choice(names)]


def _another_follower(group: Group, first: SimulatedNode) -> SimulatedNode | None:
    leader = group.leader()
    names = [name for name in group.voter_names if name != first.name]
    if leader is not None and leader.name in names:
        names.remove(leader.name)
    return group.nodes[group.rng.choice(names)] if leader is not None and names else None


def _has_caught_up(group: Group, node: SimulatedNode) -> bool:
    """Whether the leader counts a repaired node's new disk among those that hold its log."""
    leader = group.leader()
    if leader is None or leader is node or not node.is_running:
        return False
    commit = leader.raft.commit_index
    return any(
        status.member.identity == node.raft.identity and status.match_index >= commit
        for status in leader.raft.member_statuses()
        if status.member.promote or status.member.role is MemberRole.VOTER
    )
