"""Scenarios: processes that inject one kind of fault each, for a while."""

from collections.abc import Callable, Mapping
from typing import TypeAlias

import msgspec

from finchshed.consensus.membership import AddMember, MemberRole, RemoveMember
from finchshed.proof.consensus.group import UNLIMITED_BYTES, Group, fill_disk
from finchshed.proof.consensus.network import LinkQuality
from finchshed.proof.consensus.node import SimulatedNode
from finchshed.proof.consensus.scheduler import Process

Inject: TypeAlias = Callable[[Group], Process]

_DAY_SECONDS = 86_400.0
_WHOLE_PATIENCE_SECONDS = 20.0
_NOTICE_SECONDS = 4.0
"""A leader that nobody answers has stepped down by then."""


class Scenario(msgspec.Struct, frozen=True):
    """One kind of failure.

    Attributes
    ----------
    inject
        Brings the failure about; the process ends with it.
    spares
        Nodes that run and are no members at the start.
    clients
        Clients that work at the same time.
    from_start
        The faults begin with the first start, before the group is formed.
    """

    summary: str
    inject: Inject
    spares: int = 0
    clients: int = 3
    from_start: bool = False


def formation(group: Group) -> Process:
    """Disturb the first start: late greetings, crashes, one lost disk, often the founder's."""
    rng = group.rng
    group.network.quality = LinkQuality(
        delay_max=0.05, loss=0.2, duplication=0.2, late=0.2, late_max=3.0
    )
    losing = group.nodes["n1"] if rng.random() < 0.7 else group.some_voter()
    acts = rng.randint(1, 6)
    lost_at = rng.randrange(acts)
    for number in range(acts):
        yield from group.pause(0.05, 1.0)
        node = losing if number == lost_at else group.some_voter()
        if number == lost_at:
            node.lose_disk()
        else:
            node.crash(power_lost=True)
        group.restart_later(node, 0.01, 1.0)


def lossy_links(group: Group) -> Process:
    """Lose, repeat, delay and reorder messages."""
    rng = group.rng
    for _ in range(4):
        group.network.quality = LinkQuality(
            delay_max=rng.choice((0.003, 0.03, 0.2)),
            loss=rng.uniform(0.0, 0.3),
            duplication=rng.uniform(0.0, 0.2),
            late=rng.uniform(0.0, 0.1),
            late_max=rng.choice((0.1, 2.0)),
        )
        yield from group.pause(2.0, 6.0)


def partitions(group: Group) -> Process:
    """Cut the group in two, or single links in one direction."""
    rng = group.rng
    for _ in range(6):
        names = list(group.nodes)
        if rng.random() < 0.5:
            group.network.split(set(rng.sample(names, rng.randint(1, len(names) - 1))))
        for _link in range(rng.randint(0, 4)):
            group.network.cut(*rng.sample(names, 2))
        yield from group.pause(0.2, 5.0)
        if rng.random() < 0.7:
            group.network.heal()
            yield from group.pause(0.0, 2.0)


def silent_leader(group: Group) -> Process:
    """Cut the leader off for minutes; nothing tells anybody."""
    yield from group.wait_until(lambda: group.leader() is not None, 5.0)
    leader = group.leader()
    if leader is None:
        return
    term = leader.raft.term
    for other in group.nodes:
        if other == leader.key:
            continue
        group.network.cut(leader.key, other)
        if group.rng.random() < 0.7:
            group.network.cut(other, leader.key)
    yield from group.pause(_NOTICE_SECONDS, _NOTICE_SECONDS)
    if leader.is_leader and leader.raft.term == term:
        group.observer.violated(f"{leader.name} leads on, cut off for {_NOTICE_SECONDS} s")
    yield from group.pause(60.0, 180.0)


def flapping_links(group: Group) -> Process:
    """Let links come and go within parts of a second."""
    names = list(group.nodes)
    for _ in range(group.rng.randint(30, 80)):
        link = tuple(group.rng.sample(names, 2))
        if link in group.network.cuts:
            group.network.cuts.discard(link)
        else:
            group.network.cut(*link)
        yield from group.pause(0.02, 0.6)


def leader_changes(group: Group) -> Process:
    """Take each leader out soon after its election, on slow links and disks."""
    rng = group.rng
    for _ in range(16):
        group.slow_disks()
        group.network.quality = LinkQuality(
            delay_max=rng.choice((0.003, 0.05, 0.3)), loss=rng.choice((0.0, 0.1, 0.3))
        )
        yield from group.wait_until(lambda: group.leader() is not None, 5.0, poll=0.002)
        yield from group.pause(0.0, rng.choice((0.01, 0.05, 0.5, 2.0)))
        leader = group.leader()
        if leader is not None:
            _take_out(group, leader)


def _take_out(group: Group, leader: SimulatedNode) -> None:
    """Crash, freeze or cut off a leader; what it sent last arrives or is lost."""
    rng = group.rng
    choice = rng.random()
    if choice < 0.1:
        leader.transfer_leadership()
        return
    if choice < 0.5:
        leader.crash(power_lost=True)
        group.restart_later(leader, 0.1, 3.0)
    elif choice < 0.8:
        leader.freeze()
        group.scheduler.call_later(rng.uniform(0.5, 3.0), leader.thaw)
    if choice > 0.8 or rng.random() < 0.6:
        group.network.isolate(leader.key)
        group.scheduler.call_later(rng.uniform(0.5, 4.0), group.network.heal)


def freezes(group: Group) -> Process:
    """Stop processes as by SIGSTOP, some for long, several at once."""
    for _ in range(8):
        frozen = [group.some_node() for _ in range(group.rng.randint(1, 2))]
        for node in frozen:
            node.freeze()
        yield from group.pause(0.1, group.rng.choice((1.0, 10.0)))
        for node in frozen:
            node.thaw()
        yield from group.pause(0.0, 2.0)


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
        is_whole = yield from group.wait_until(group.is_whole, _WHOLE_PATIENCE_SECONDS)
        if not is_whole:
            group.observer.violated("the group was not repaired in time")
            return
        yield from group.pause(0.0, 2.0)
        if not group.is_whole():
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
        is_whole = yield from group.wait_until(group.is_whole, _WHOLE_PATIENCE_SECONDS)
        if not is_whole:
            group.observer.violated("the group was not repaired in time")
            return
        yield from group.pause(0.0, 2.0)
        if not group.is_whole():
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
    yield from group.wait_until(group.is_whole, _WHOLE_PATIENCE_SECONDS)
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
        yield from group.wait_until(lambda: _has_caught_up(group, first), _WHOLE_PATIENCE_SECONDS)
        yield from group.pause(0.0, 0.3)
        second = _another_follower(group, first)
        if second is not None and _has_caught_up(group, first):
            second.lose_disk()
            group.observer.count("second_disk_lost_after_catching_up")
            group.restart_later(second, 1.0, 8.0)
    yield from group.pause(5.0, 12.0)


def clocks(group: Group) -> Process:
    """Step clocks to and fro by up to a day, and let them run fast or slow."""
    for node in group.nodes.values():
        node.clock_rate = group.rng.choice((0.5, 0.9, 1.0, 1.1, 2.0))
    for _ in range(15):
        node = group.some_node()
        size = group.rng.choice((0.5, 5.0, 3600.0, _DAY_SECONDS))
        node.clock_offset += group.rng.uniform(-size, size)
        yield from group.pause(0.1, 2.0)


def membership(group: Group) -> Process:
    """Add, remove and hand over while links are cut."""
    rng = group.rng
    names = list(group.nodes)
    for _ in range(10):
        if rng.random() < 0.5:
            group.network.split(set(rng.sample(names, rng.randint(1, len(names) - 1))))
        group.network.quality = LinkQuality(delay_max=rng.choice((0.003, 0.1)))
        if rng.random() < 0.4:
            yield from _remove_many(group)
        for _change in range(rng.randint(0, 3)):
            _change_members(group)
            yield from group.pause(0.0, 0.2)
        leader = group.leader()
        if leader is not None and rng.random() < 0.4:
            _take_out(group, leader)
        yield from group.pause(0.1, 3.0)
        group.network.heal()
        yield from group.pause(0.1, 2.0)


def replaced_while_cut(group: Group) -> Process:
    """Start a new machine under the name of one that is alive and only cut off.

    Links come and go between all of them afterwards, until the old machine is switched off.
    """
    yield from group.wait_until(group.is_whole, _WHOLE_PATIENCE_SECONDS)
    yield from group.pause(0.0, 3.0)
    old = group.some_voter()
    group.network.isolate(old.key)
    yield from group.pause(0.5, 3.0)
    group.add_machine(f"{old.name}-new", old.name).start()
    keys = list(group.nodes)
    for _ in range(group.rng.randint(8, 20)):
        yield from group.pause(0.05, 1.5)
        group.network.heal()
        if group.rng.random() < 0.8:
            group.network.split(set(group.rng.sample(keys, group.rng.randint(1, len(keys) - 1))))
    old.crash(power_lost=True)
    del group.nodes[old.key]


def storm(group: Group) -> Process:
    """Everything at once, apart from losing more disks than a group can do without."""
    rng = group.rng
    acts = (_flap, _freeze_a_while, _crash_one, _jump_clock, _fill_a_disk, _spoil_a_disk, _weather)
    for _ in range(25):
        rng.choice(acts)(group)
        yield from group.pause(0.1, 1.5)


def _change_members(group: Group) -> None:
    rng = group.rng
    target = group.some_node()
    name = rng.choice(list(group.nodes))
    choice = rng.random()
    if choice < 0.4:
        target.change_membership(AddMember(name, voter=rng.random() < 0.8))
    elif choice < 0.8:
        target.change_membership(RemoveMember(name))
    else:
        target.transfer_leadership()


def _remove_many(group: Group) -> Process:
    """Ask the leader for one removal after the other, without waiting for any."""
    names = group.rng.sample(list(group.nodes), group.rng.randint(2, len(group.nodes)))
    for name in names:
        leader = group.leader()
        if leader is not None:
            leader.change_membership(RemoveMember(name))
        yield from group.pause(0.0, 0.2)


def _flap(group: Group) -> None:
    names = list(group.nodes)
    if group.rng.random() < 0.4:
        group.network.heal()
    elif group.rng.random() < 0.5:
        group.network.isolate(group.some_node().key)
    else:
        group.network.cut(*group.rng.sample(names, 2))


def _freeze_a_while(group: Group) -> None:
    node = group.some_node()
    node.freeze()
    group.scheduler.call_later(group.rng.uniform(0.1, 5.0), node.thaw)


def _crash_one(group: Group) -> None:
    nodes = list(group.nodes.values()) if group.rng.random() < 0.1 else [group.some_node()]
    power_lost = group.rng.random() < 0.7
    for node in nodes:
        node.crash(power_lost)
        group.restart_later(node, 0.01, 3.0)


def _jump_clock(group: Group) -> None:
    node = group.some_node()
    node.clock_offset += group.rng.uniform(-_DAY_SECONDS, _DAY_SECONDS)
    node.clock_rate = group.rng.choice((0.5, 1.0, 2.0))


def _fill_a_disk(group: Group) -> None:
    disk = group.some_node().disk
    fill_disk(disk, group.rng.randint(0, 2000))

    def free() -> None:
        disk.capacity_bytes = UNLIMITED_BYTES

    group.scheduler.call_later(group.rng.uniform(0.5, 5.0), free)


def _spoil_a_disk(group: Group) -> None:
    """Lose or spoil a disk, if no other is under repair."""
    if not group.is_whole():
        return
    node = group.some_voter()
    if group.rng.random() < 0.5:
        node.lose_disk()
    else:
        node.disk.flip_bit()
        node.crash(power_lost=True)
    group.observer.count("spoilt_disk")
    group.restart_later(node, 0.0, 3.0)


def _weather(group: Group) -> None:
    group.network.quality = LinkQuality(
        delay_max=group.rng.choice((0.003, 0.05)),
        loss=group.rng.choice((0.0, 0.1)),
        duplication=group.rng.choice((0.0, 0.1)),
        late=group.rng.choice((0.0, 0.05)),
    )


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


SCENARIOS: Mapping[str, Scenario] = {
    "formation": Scenario("a disturbed first start", formation, from_start=True),
    "lossy-links": Scenario("messages lost, repeated, late, reordered", lossy_links),
    "partitions": Scenario("splits and one-way cuts", partitions),
    "silent-leader": Scenario("the leader cut off in silence for minutes", silent_leader),
    "flapping-links": Scenario("links that come and go", flapping_links),
    "leader-changes": Scenario("each leader taken out soon", leader_changes, clients=8),
    "freezes": Scenario("processes stopped and continued", freezes),
    "crashes": Scenario("kills and power cuts in the middle of writes", crashes),
    "all-restarted": Scenario("all machines lose power at once", all_restarted),
    "bit-rot": Scenario("damage of synced data", bit_rot),
    "full-disks": Scenario("disks without room", full_disks),
    "lost-disks": Scenario("disks lost one after the other", lost_disks),
    "second-loss": Scenario("a second machine lost during a repair", second_loss),
    "clocks": Scenario("clocks that step and drift", clocks),
    "membership": Scenario("members added and removed during cuts", membership, spares=2),
    "replaced-while-cut": Scenario("a name given to a new machine too soon", replaced_while_cut),
    "storm": Scenario("all of these together", storm, spares=1),
}
