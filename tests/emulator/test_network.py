"""Links of the emulator: order, cuts, and what comes late."""

from finchshed.emulator.clock import Clock
from finchshed.emulator.network import Network, Site
from finchshed.emulator.streams import Streams

HERE = Site("a", "zone-1")
THERE = Site("b", "zone-2")


def network(clock: Clock) -> Network:
    return Network(clock, Streams(1), zone_delay=0.001, client_delay=0.005)


def test_messages_of_one_channel_stay_in_order() -> None:
    clock = Clock()
    links = network(clock)
    seen: list[int] = []
    for number in range(200):
        clock.call_at(number * 1e-5, links.send, HERE, THERE, lambda n=number: seen.append(n))
    clock.run_until(1.0)
    assert seen == list(range(200))


def test_a_cut_holds_messages_one_way_until_it_heals() -> None:
    clock = Clock()
    links = network(clock)
    seen: list[tuple[str, float]] = []
    links.cut("zone-1", "zone-2")
    assert not links.reachable(HERE, THERE)
    assert links.reachable(THERE, HERE)
    links.send(HERE, THERE, lambda: seen.append(("there", clock.now)))
    links.send(THERE, HERE, lambda: seen.append(("back", clock.now)))
    clock.call_at(0.5, links.heal, "zone-1", "zone-2")
    clock.run_until(1.0)
    assert [name for name, _ in seen] == ["back", "there"]
    assert seen[0][1] < 0.01
    assert 0.5 < seen[1][1] < 0.51


def test_two_cuts_heal_one_by_one() -> None:
    links = network(Clock())
    links.cut("*", "b")
    links.cut("*", "b")
    links.heal("*", "b")
    assert not links.reachable(HERE, THERE)
    links.heal("*", "b")
    assert links.reachable(HERE, THERE)


def test_duplicates_and_extra_delay_come_as_asked() -> None:
    clock = Clock()
    links = network(clock)
    links.duplicate_probability = 1.0
    links.slow("zone-1", "zone-2", 0.1)
    seen: list[float] = []
    links.send(HERE, THERE, lambda: seen.append(clock.now))
    clock.run_until(1.0)
    assert len(seen) == 2
    assert min(seen) > 0.1
