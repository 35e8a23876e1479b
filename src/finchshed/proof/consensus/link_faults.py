"""Faults of links, clocks and running processes."""

from finchshed.proof.consensus.group import Group
from finchshed.proof.consensus.network import LinkQuality
from finchshed.proof.consensus.node import SimulatedNode
from finchshed.proof.consensus.scheduler import Process

_DAY_SECONDS = 86_400.0
_NOTICE_SECONDS = 4.0
"""A leader that nobody answers has stepped down by then."""


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
            take_out(group, leader)


def take_out(group: Group, leader: SimulatedNode) -> None:
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


def clocks(group: Group) -> Process:
    """Step clocks to and fro by up to a day, and let them run fast or slow."""
    for node in group.nodes.values():
        node.clock_rate = group.rng.choice((0.5, 0.9, 1.0, 1.1, 2.0))
    for _ in range(15):
        node = group.some_node()
        size = group.rng.choice((0.5, 5.0, 3600.0, _DAY_SECONDS))
        node.clock_offset += group.rng.uniform(-size, size)
        yield from group.pause(0.1, 2.0)
