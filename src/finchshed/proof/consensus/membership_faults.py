"""Members added, removed and replaced while links are cut."""

from finchshed.consensus.membership import AddMember, RemoveMember
from finchshed.proof.consensus.disk_faults import WHOLE_PATIENCE_SECONDS
from finchshed.proof.consensus.group import Group
from finchshed.proof.consensus.link_faults import take_out
from finchshed.proof.consensus.network import LinkQuality
from finchshed.proof.consensus.scheduler import Process


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
            take_out(group, leader)
        yield from group.pause(0.1, 3.0)
        group.network.heal()
        yield from group.pause(0.1, 2.0)


def standbys(group: Group) -> Process:
    """Take voters away for long, so that standbys take their places, and give them back."""
    rng = group.rng
    spares = [name for name in group.nodes if name not in group.voter_names]
    for _ in range(8):
        leader = group.leader()
        for name in spares:
            if leader is not None:
                leader.change_membership(AddMember(name, voter=False))
            yield from group.pause(0.3, 0.6)
    for _ in range(3):
        node = group.some_node()
        if rng.random() < 0.5:
            group.network.isolate(node.key)
        else:
            node.crash(power_lost=True)
        yield from group.pause(1.0, 20.0)
        if rng.random() < 0.7:
            group.network.heal()
        group.restart_later(node, 0.0, 2.0)
        yield from group.pause(0.0, 4.0)


def replaced_while_cut(group: Group) -> Process:
    """Start a new machine under the name of one that is alive and only cut off.

    Links come and go between all of them afterwards, until the old machine is switched off.
    """
    yield from group.wait_until(group.is_whole, WHOLE_PATIENCE_SECONDS)
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
