"""Network of the emulator: message order, cuts, duplicates and delays."""

from finchshed.emulator.clock import Clock
from finchshed.emulator.network import Network, Site
from finchshed.emulator.streams import Streams

SITE_A = Site("a", "zone-1")
SITE_B = Site("b", "zone-2")


def create_network(clock: Clock) -> Network:
    return Network(clock, Streams(1), zone_delay=0.001, client_delay=0.005)


def test_messages_of_one_channel_stay_in_order() -> None:
    clock = Clock()
    links = create_network(clock)
    seen: list[int] = []
    for number in range(200):
        clock.call_at(number * 1e-5, links.send, SITE_A, SITE_B, lambda n=number: seen.append(n))
    clock.run_until(1.0)
    assert seen == list(range(200))


def test_a_cut_holds_messages_one_way_until_it_heals() -> None:
    clock = Clock()
    links = create_network(clock)
    seen: list[tuple[str, float]] = []
    links.cut("zone-1", "zone-2")
    assert not links.reachable(SITE_A, SITE_B)
    assert links.reachable(SITE_B, SITE_A)
    links.send(SITE_A, SITE_B, lambda: seen.append(("there", clock.now)))
    links.send(SITE_B, SITE_A, lambda: seen.append(("back", clock.now)))
    clock.call_at(0.5, links.heal, "zone-1", "zone-2")
    clock.run_until(1.0)
    assert [name for name, _ in seen] == ["back", "there"]
    assert seen[0][1] < 0.01
    assert 0.5 < seen[1][1] < 0.51


def test_two_cuts_heal_one_by_one() -> None:
    links = create_network(Clock())
    links.cut("*", "b")
    links.cut("*", "b")
    links.heal("*", "b")
    assert not links.reachable(SITE_A, SITE_B)
    links.heal("*", "b")
    assert links.reachable(SITE_A, SITE_B)


def test_duplicates_and_extra_delay_are_applied() -> None:
    clock = Clock()
    links = create_network(clock)
    links.duplicate_probability = 1.0
    links.slow("zone-1", "zone-2", 0.1)
    seen: list[float] = []
    links.send(SITE_A, SITE_B, lambda: seen.append(clock.now))
    clock.run_until(1.0)
    assert len(seen) == 2
    assert min(seen) > 0.1
