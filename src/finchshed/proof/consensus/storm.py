"""Every kind of fault at once."""

from finchshed.proof.consensus.group import UNLIMITED_BYTES, Group, fill_disk
from finchshed.proof.consensus.network import LinkQuality
from finchshed.proof.consensus.scheduler import Process

_DAY_SECONDS = 86_400.0


def storm(group: Group) -> Process:
    """Everything at once, apart from losing more disks than a group can do without."""
    rng = group.rng
    acts = (_flap, _freeze_a_while, _crash_one, _jump_clock, _fill_a_disk, _spoil_a_disk, _weather)
    for _ in range(25):
        rng.choice(acts)(group)
        yield from group.pause(0.1, 1.5)


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
