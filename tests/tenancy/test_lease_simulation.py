"""Revoked keys become invalid in time under simulated faults between control and daemons."""

import pytest

from finchshed.tenancy import lease
from tests.tenancy.lease_simulation import Simulation

SEEDS = 1000
SEEDS_PER_TEST = 100


@pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
def test_revoked_key_becomes_invalid_everywhere(first: int) -> None:
    accepted = rejected = 0
    for seed in range(first, first + SEEDS_PER_TEST):
        simulation = Simulation(seed)
        assert simulation.run(30.0) == [], f"seed {seed}"
        accepted += sum(daemon.accepted for daemon in simulation.daemons)
        rejected += sum(daemon.rejected for daemon in simulation.daemons)
    assert accepted > rejected / 4


def test_every_key_is_accepted_without_faults() -> None:
    simulation = Simulation(1, has_faults=False)
    simulation.run(2.0)
    before = [daemon.rejected for daemon in simulation.daemons]
    simulation.run(20.0)
    assert [daemon.rejected for daemon in simulation.daemons] == before


def test_simulation_detects_a_lease_that_runs_from_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a simulation that would not detect a lease which lasts too long."""
    original = lease.KeyLease.start_renewal

    def start_late(self: lease.KeyLease, now: float) -> int:
        return original(self, now + 1.5)

    monkeypatch.setattr(lease.KeyLease, "start_renewal", start_late)
    assert any(Simulation(seed).run(30.0) for seed in range(100))
