"""No window holds more than a limit allows, whatever fails between the leader and daemons."""

import random
from collections.abc import Callable

import pytest

from finchshed.quota import allocator, daemon_share, lease
from tests.quota.quota_simulation import WINDOW_SECONDS, QuotaSimulation

SEEDS = 1000
SEEDS_A_TEST = 125
END = 32.0


def disturbed(seed: int) -> QuotaSimulation:
    """Return a world with three tenants and faults drawn from the seed."""
    rng = random.Random(f"faults {seed}")
    rates = [rng.uniform(2.0, 40.0) for _ in range(3)]
    world = QuotaSimulation(seed, rng.randint(3, 12), rates, [rng.randint(1, 12) for _ in rates])
    for _ in range(rng.randint(2, 9)):
        world.clock.at(rng.uniform(8.0, END - 2.0), lambda: disturb(world, rng))
    return world


def disturb(world: QuotaSimulation, rng: random.Random) -> None:
    """Have something fail, or a tenant send much more."""
    now, seconds = world.clock.now, rng.uniform(0.2, 8.0)
    daemon = rng.choice(world.daemons)
    tenant = rng.choice(list(world.usual_rates))
    acts: list[Callable[[], None]] = [
        lambda: world.change_leader(rng.uniform(-1.0, 4.0)),
        lambda: setattr(daemon, "partitioned_until", now + seconds),
        lambda: setattr(daemon, "delayed_until", now + seconds),
        lambda: setattr(daemon, "frozen_until", now + seconds),
        daemon.restart,
        lambda: [other.restart() for other in world.daemons] and None,
        lambda: world.factor.update({tenant: rng.choice((0.0001, 1.0, 7.5, 20.0))}),
        lambda: world.factor.update({tenant: 20.0}),
    ]
    rng.choice(acts)()


@pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_A_TEST))
def test_no_window_is_above_its_limit(first: int) -> None:
    for seed in range(first, first + SEEDS_A_TEST):
        world = disturbed(seed)
        world.clock.run(END)
        for name in world.usual_rates:
            assert world.peak_window_ratio(name, 0.0) <= 1.0, f"seed {seed}, tenant {name}"


def test_the_world_shows_a_leader_that_lets_shares_grow_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The world has teeth: what a new leader must not do breaks a limit in it."""
    monkeypatch.setattr(allocator.QuotaAllocator, "_is_settled", lambda self, now: True)
    monkeypatch.setattr(allocator, "_without_claims", lambda report: report)
    assert any(is_above(disturbed(seed)) for seed in range(200))


def is_above(world: QuotaSimulation) -> bool:
    """Play; return whether a window was above its limit."""
    world.clock.run(END)
    return any(world.peak_window_ratio(name, 0.0) > 1.0 for name in world.usual_rates)


def test_a_lower_limit_holds_one_window_after_it_is_in_force() -> None:
    for seed in range(20):
        world = QuotaSimulation(seed, 8, [40.0, 20.0], [8, 8])
        world.factor["t0"] = 1.5
        world.clock.at(16.0, lambda world=world: world.set_limit("t0", 6.0))  # type: ignore[misc]
        world.clock.run(END)
        assert world.peak_window_ratio("t0", 16.0 + 2.0) <= 1.0, f"seed {seed}"
        assert len([time for time in world.counts["t0"].run if time > 18.0 + WINDOW_SECONDS]) > 20


def test_in_calm_times_next_to_nothing_below_a_limit_is_refused() -> None:
    lost = asked = 0
    for seed in range(3):
        world = QuotaSimulation(seed, 40, [60.0, 20.0, 8.0, 5.0, 5.0], [40, 30, 8, 6, 5])
        world.clock.run(38.0)
        for name in world.usual_rates:
            below, all_asked = world.refused_below_limit(name, 12.0, 38.0)
            lost += below
            asked += all_asked
    assert lost <= 0.001 * asked


def test_while_there_is_no_leader_most_are_served() -> None:
    lost = asked = 0
    for seed in range(3):
        world = QuotaSimulation(seed, 40, [60.0, 20.0, 8.0, 5.0, 5.0], [40, 30, 8, 6, 5])
        world.clock.at(20.0, lambda world=world: world.change_leader(3.0))  # type: ignore[misc]
        world.clock.run(38.0)
        for name in world.usual_rates:
            below, all_asked = world.refused_below_limit(name, 20.0, 23.0)
            lost += below
            asked += all_asked
    assert lost <= 0.25 * asked


def test_a_daemon_without_control_uses_its_share_no_longer_than_its_lease() -> None:
    world = QuotaSimulation(1, 4, [40.0], [4])
    world.clock.run(15.0)
    daemon = world.daemons[0]
    daemon.partitioned_until = 100.0
    world.clock.run(15.0 + lease.LEASE_SECONDS + daemon_share.REPORT_INTERVAL_SECONDS)
    assert daemon.share.rates()["t0"] == (0.0, 0.0)
