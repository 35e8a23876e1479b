"""A group that takes in standbys by itself: from a greeting to the place of a lost voter."""

import msgspec
import pytest

from finchshed.proof.consensus.group import OPTIONS, Group
from tests.consensus.test_standby import PATIENCE_SECONDS, followers, roles, sleep, voters, wait

FORGET_SECONDS = 3 * OPTIONS.standby_after_seconds
NAMES = ("n1", "n2", "n3")


def admitting(seed: str, *, admits: bool = True) -> Group:
    """Return a group of three voters with a node beside it that only greets."""
    group = Group(seed, 3, 1)
    options = msgspec.structs.replace(
        group.options,
        admits_standbys=admits,
        forget_standby_seconds=FORGET_SECONDS,
        standby_after_seconds=OPTIONS.standby_after_seconds,
    )
    for node in group.nodes.values():
        node._options = options
    group.start()
    assert wait(group, lambda: voters(group) == set(NAMES))
    return group


@pytest.mark.parametrize("seed", range(5))
def test_a_node_that_greets_becomes_a_standby_and_replaces_a_silent_voter(seed: int) -> None:
    group = admitting(f"admitted/{seed}")
    assert wait(group, lambda: roles(group).get("n4") == "learner")
    lost = next(node for node in followers(group) if node.name in NAMES)
    lost.crash(power_lost=True)
    assert wait(group, lambda: "n4" in voters(group))
    assert voters(group) == {*NAMES, "n4"} - {lost.name}
    assert not group.observer.violations


@pytest.mark.parametrize("seed", range(3))
def test_one_that_is_gone_for_long_is_forgotten_and_may_come_again(seed: int) -> None:
    group = admitting(f"forgotten/{seed}")
    assert wait(group, lambda: roles(group).get("n4") == "learner")
    lost = next(node for node in followers(group) if node.name in NAMES)
    lost.crash(power_lost=True)
    assert wait(group, lambda: "n4" in voters(group))
    assert wait(group, lambda: lost.name not in roles(group), 3 * FORGET_SECONDS)
    lost.start()
    assert wait(group, lambda: roles(group).get(lost.name) == "learner")
    assert len(voters(group)) == 3
    assert not group.observer.violations


def test_without_the_option_nobody_is_taken_in() -> None:
    group = admitting("closed", admits=False)
    sleep(group, PATIENCE_SECONDS)
    assert "n4" not in roles(group)
