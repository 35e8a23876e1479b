"""No key is taken past its end, whatever fails between control and daemons."""

import pytest

from finchshed.tenancy import lease
from tests.tenancy.lease_world import World

SEEDS = 1000
SEEDS_A_TEST = 100


@pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_A_TEST))
def test_a_key_that_was_taken_away_ends_everywhere(first: int) -> None:
    taken = held_back = 0
    for seed in range(first, first + SEEDS_A_TEST):
        world = World(seed)
        assert world.run(30.0) == [], f"seed {seed}"
        taken += sum(daemon.taken for daemon in world.daemons)
        held_back += sum(daemon.held_back for daemon in world.daemons)
    assert taken > held_back / 4


def test_in_calm_times_every_key_is_taken() -> None:
    world = World(1, has_faults=False)
    world.run(2.0)
    before = [daemon.held_back for daemon in world.daemons]
    world.run(20.0)
    assert [daemon.held_back for daemon in world.daemons] == before


def test_the_world_shows_a_lease_that_counts_from_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The world has teeth: a lease counted from another moment lets a key live on."""
    original = lease.KeyLease.start_renewal

    def asked_later(self: lease.KeyLease, now: float) -> int:
        return original(self, now + 1.5)

    monkeypatch.setattr(lease.KeyLease, "start_renewal", asked_later)
    assert any(World(seed).run(30.0) for seed in range(100))
