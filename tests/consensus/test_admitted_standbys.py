"""Automatic admission of standbys: from announcement to replacing a lost voter."""

import msgspec
import pytest

from finchshed.proof.consensus.group import OPTIONS, Group
from tests.consensus.test_standby import (
    TIMEOUT_SECONDS,
    followers,
    roles,
    sleep,
    voters,
    wait_until,
)

REMOVAL_SECONDS = 3 * OPTIONS.standby_after_seconds
NAMES = ("n1", "n2", "n3")


def start_group_with_candidate(seed: str, *, admits: bool = True) -> Group:
    """Start a group of three voters and one node that only announces itself."""
    group = Group(seed, 3, 1)
    options = msgspec.structs.replace(
        group.options,
        admits_standbys=admits,
        standby_removal_seconds=REMOVAL_SECONDS,
        standby_after_seconds=OPTIONS.standby_after_seconds,
    )
    for node in group.nodes.values():
        node._options = options
    group.start()
    assert wait_until(group, lambda: voters(group) == set(NAMES))
    return group


@pytest.mark.parametrize("seed", range(5))
def test_announced_node_becomes_standby_and_replaces_silent_voter(seed: int) -> None:
    group = start_group_with_candidate(f"admitted/{seed}")
    assert wait_until(group, lambda: roles(group).get("n4") == "learner")
    lost = next(node for node in followers(group) if node.name in NAMES)
    lost.crash(power_lost=True)
    assert wait_until(group, lambda: "n4" in voters(group))
    assert voters(group) == {*NAMES, "n4"} - {lost.name}
    assert not group.observer.violations


@pytest.mark.parametrize("seed", range(3))
def test_silent_standby_is_removed_and_may_rejoin(seed: int) -> None:
    group = start_group_with_candidate(f"forgotten/{seed}")
    assert wait_until(group, lambda: roles(group).get("n4") == "learner")
    lost = next(node for node in followers(group) if node.name in NAMES)
    lost.crash(power_lost=True)
    assert wait_until(group, lambda: "n4" in voters(group))
    assert wait_until(group, lambda: lost.name not in roles(group), 3 * REMOVAL_SECONDS)
    lost.start()
    assert wait_until(group, lambda: roles(group).get(lost.name) == "learner")
    assert len(voters(group)) == 3
    assert not group.observer.violations


def test_no_standby_is_admitted_without_the_option() -> None:
    group = start_group_with_candidate("closed", admits=False)
    sleep(group, TIMEOUT_SECONDS)
    assert "n4" not in roles(group)
