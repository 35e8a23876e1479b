"""Followers and hubs under partitions, crashes, broken links and late messages."""

import pytest

from finchshed.distribution.effects import ServingBasis
from finchshed.distribution.follower import Follower
from finchshed.distribution.hub import Hub
from tests.simulation.distribution import Simulation, ViolationError
from tests.simulation.distribution_faults import Faults

FAULT_SECONDS = 40.0
CATCH_UP_SECONDS = 12.0
"""Covers the longest backoff, a refused attempt, and the fetch that follows."""

FOLLOW_SECONDS = 6.0
"""Covers a few lost answers of peers, each retried after a second, and late ones."""

SEEDS = range(60)
MUTANT_SEEDS = range(60)


def run(seed: int) -> Simulation:
    """Run with faults, end them, and check that every daemon catches up and serves."""
    simulation = Simulation(seed)
    faults = Faults(simulation)
    simulation.env.run(until=FAULT_SECONDS)
    faults.end()
    simulation.env.run(until=FAULT_SECONDS + CATCH_UP_SECONDS)
    latest = len(simulation.accepted)
    for daemon in simulation.daemons:
        if daemon.follower.revision != latest:
            raise ViolationError(f"{daemon.name} is at {daemon.follower.revision} of {latest}")
        if not daemon.follower.may_serve:
            raise ViolationError(f"{daemon.name} takes no calls")
    return simulation


def run_with_zone_cut_off_from_control(seed: int) -> None:
    """Partition one zone from control, and check that its daemons follow through peers."""
    simulation = Simulation(seed)
    faults = Faults(simulation, random_faults=False)
    simulation.env.run(until=5.0)
    simulation.partitions.from_control.add("z1")
    simulation.env.run(until=15.0)
    expected = len(simulation.accepted)
    simulation.env.run(until=15.0 + FOLLOW_SECONDS)
    faults.end()
    for daemon in simulation.daemons:
        if daemon.zone == "z1" and daemon.follower.revision < expected:
            revision = daemon.follower.revision
            raise ViolationError(
                f"{daemon.name} is at {revision}, {expected} is {FOLLOW_SECONDS} s old"
            )


@pytest.mark.parametrize("seed", SEEDS)
def test_revisions_never_go_back_and_all_daemons_catch_up(seed: int) -> None:
    simulation = run(seed)
    assert len(simulation.accepted) > 10


@pytest.mark.parametrize("seed", range(20))
def test_daemons_cut_off_from_control_follow_through_peers(seed: int) -> None:
    run_with_zone_cut_off_from_control(seed)


def test_both_bases_for_serving_occur() -> None:
    found: set[ServingBasis] = set()
    for seed in SEEDS:
        found |= run(seed).bases
        if found == {ServingBasis.QUORUM, ServingBasis.DISK_AND_PEERS}:
            return
    pytest.fail(f"only {found} over {len(SEEDS)} seeds")


def test_same_seed_gives_the_same_history() -> None:
    first, second = run(3), run(3)
    assert [d.in_force_at for d in first.daemons] == [d.in_force_at for d in second.daemons]


def serve_unconfirmed(self: Follower, now: float) -> ServingBasis:
    return ServingBasis.QUORUM if self._holds_any else ServingBasis.NONE


def confirm_immediately(self: Hub, number: int, message: object, now: float) -> object:
    """Confirm each subscription without asking a quorum."""
    effects = [*ORIGINAL_SUBSCRIBE(self, number, message, now)]  # type: ignore[arg-type]
    return [*effects, *self.on_confirmed(self._next_ticket, now)]


def never_fetch(self: Follower, now: float) -> list[object]:
    return []


def persist_late(self: Follower) -> list[object]:
    """Apply a configuration before it is persisted."""
    return list(self._take_effect(self._held)) if self._holds_any else []


def ignore_full_buffers(self: Hub, number: int, is_full: bool, now: float) -> tuple[object, ...]:
    return ()


ORIGINAL_SUBSCRIBE = Hub.subscribe


@pytest.mark.parametrize(
    ("owner", "name", "broken"),
    [
        (Follower, "_find_basis", serve_unconfirmed),
        (Hub, "subscribe", confirm_immediately),
        (Follower, "_fetch", never_fetch),
        (Follower, "_record_or_take_effect", persist_late),
        (Hub, "on_buffer", ignore_full_buffers),
    ],
    ids=[
        "serves unconfirmed",
        "confirms without a quorum",
        "never fetches",
        "records late",
        "fills buffers",
    ],
)
def test_simulation_detects_broken_variants(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, broken: object
) -> None:
    monkeypatch.setattr(owner, name, broken)
    for seed in MUTANT_SEEDS:
        try:
            run(seed)
            run_with_zone_cut_off_from_control(seed)
        except ViolationError:
            return
    pytest.fail(f"no seed of {len(MUTANT_SEEDS)} caught it")
