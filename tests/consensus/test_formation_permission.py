"""Nodes without permission to form a group never do, even if all disks are empty."""

import random

import pytest

from finchshed.consensus.events import MessageReceived, Tick
from finchshed.consensus.membership import InitialMember
from finchshed.consensus.messages import Envelope
from finchshed.consensus.node import RaftNode
from finchshed.storage.records import StoredState, Vote

NAMES = ("a", "b", "c")
VOTERS = tuple(InitialMember(name, f"{name}:1") for name in NAMES)


def forms_group(*, may_form: bool) -> bool:
    """Run three nodes with empty disks for ten seconds; return whether they formed a group."""
    nodes = {
        f"{name}:1": RaftNode(
            name,
            f"{name}:1",
            StoredState(f"disk of {name}", Vote(0), None, ()),
            rng=random.Random(name),
            initial_members=VOTERS,
            now=0.0,
            may_form=may_form,
        )
        for name in NAMES
    }
    for step in range(100):
        now = step / 10
        waiting: list[tuple[str, Envelope]] = []
        for node in nodes.values():
            waiting += _sent(node.handle(Tick(), now))
        for address, envelope in waiting:
            nodes[address].handle(MessageReceived(envelope), now)
    return any(node.membership.members for node in nodes.values())


def _sent(effects: list[object]) -> list[tuple[str, Envelope]]:
    return [(effect.address, effect.envelope) for effect in effects if hasattr(effect, "envelope")]


@pytest.mark.parametrize("may_form", [True, False])
def test_group_is_formed_only_if_nodes_may_form(may_form: bool) -> None:
    assert forms_group(may_form=may_form) is may_form
