"""Followers and hubs under cuts, crashes, broken links and late messages, over many seeds."""

import pytest

from finchshed.distribution.effects import ServingBasis
from finchshed.distribution.follower import Follower
from finchshed.distribution.hub import Hub
from tests.simulation.distribution import ViolationError, World
from tests.simulation.distribution_faults import Faults

FAULT_SECONDS = 40.0
CATCH_UP_SECONDS = 12.0
"""Longest backoff, a refused attempt, and the fetch that follows."""

FOLLOW_SECONDS = 6.0
"""A lost answer or two of peers, each asked again after a second, and late ones."""

SEEDS = range(60)
MUTANT_SEEDS = range(60)


def run(seed: int) -> World:
    """Run faults, end them, and check that every daemon catches up and serves."""
    world = World(seed)
    faults = Faults(world)
    world.env.run(until=FAULT_SECONDS)
    faults.end()
    world.env.run(until=FAULT_SECONDS + CATCH_UP_SECONDS)
    latest = len(world.accepted)
    for daemon in world.daemons:
        if daemon.follower.revision != latest:
            raise ViolationError(f"{daemon.name} is at {daemon.follower.revision} of {latest}")
        if not daemon.follower.may_serve:
            raise ViolationError(f"{daemon.name} takes no calls")
    return world


def run_cut_off_from_control(seed: int) -> None:
    """Cut one zone's daemons off from control, and check that they follow through others."""
    world = World(seed)
    faults = Faults(world, random_faults=False)
    world.env.run(until=5.0)
    world.cuts.from_control.add("z1")
    world.env.run(until=15.0)
    wanted = len(world.accepted)
    world.env.run(until=15.0 + FOLLOW_SECONDS)
    faults.end()
    for daemon in world.daemons:
        if daemon.zone == "z1" and daemon.follower.revision < wanted:
            held = daemon.follower.revision
            raise ViolationError(f"{daemon.name} is at {held}, {wanted} is {FOLLOW_SECONDS} s old")


@pytest.mark.parametrize("seed", SEEDS)
def test_no_configuration_goes_back_and_everyone_catches_up(seed: int) -> None:
    world = run(seed)
    assert len(world.accepted) > 10


@pytest.mark.parametrize("seed", range(20))
def test_daemons_cut_off_from_control_follow_through_others(seed: int) -> None:
    run_cut_off_from_control(seed)


def test_both_grounds_for_serving_occur_over_the_seeds() -> None:
    found: set[ServingBasis] = set()
    for seed in SEEDS:
        found |= run(seed).bases
        if found == {ServingBasis.QUORUM, ServingBasis.DISK_AND_PEERS}:
            return
    pytest.fail(f"only {found} over {len(SEEDS)} seeds")


def test_the_same_seed_gives_the_same_history() -> None:
    first, second = run(3), run(3)
    assert [d.in_force_at for d in first.daemons] == [d.in_force_at for d in second.daemons]


def serves_what_it_holds(self: Follower, now: float) -> ServingBasis:
    return ServingBasis.QUORUM if self._holds_any else ServingBasis.NONE


def confirms_at_once(self: Hub, number: int, message: object, now: float) -> object:
    """Confirm each subscription without asking a quorum."""
    effects = [*ORIGINAL_SUBSCRIBE(self, number, message, now)]  # type: ignore[arg-type]
    return [*effects, *self.on_confirmed(self._next_ticket, now)]


def forgets_to_fetch(self: Follower, now: float) -> list[object]:
    return []


def records_late(self: Follower) -> list[object]:
    """Act on a configuration before it is on the disk."""
    return list(self._take_effect(self._held)) if self._holds_any else []


def forgets_that_buffers_fill(
    self: Hub, number: int, is_full: bool, now: float
) -> tuple[object, ...]:
    return ()


ORIGINAL_SUBSCRIBE = Hub.subscribe


@pytest.mark.parametrize(
    ("owner", "name", "broken"),
    [
        (Follower, "_find_basis", serves_what_it_holds),
        (Hub, "subscribe", confirms_at_once),
        (Follower, "_fetch", forgets_to_fetch),
        (Follower, "_record_or_take_effect", records_late),
        (Hub, "on_buffer", forgets_that_buffers_fill),
    ],
    ids=[
        "serves unconfirmed",
        "confirms without a quorum",
        "never fetches",
        "records late",
        "fills buffers",
    ],
)
def test_broken_logic_is_caught(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, broken: object
) -> None:
    monkeypatch.setattr(owner, name, broken)
    for seed in MUTANT_SEEDS:
        try:
            run(seed)
            run_cut_off_from_control(seed)
        except ViolationError:
            return
    pytest.fail(f"no seed of {len(MUTANT_SEEDS)} caught it")
