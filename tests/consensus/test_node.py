"""Properties of a single node."""

import random

from finchshed.consensus.events import Tick
from finchshed.consensus.node import RaftNode
from finchshed.storage.records import StoredState, Vote


def test_a_node_that_may_not_stand_rests_between_ticks() -> None:
    node = RaftNode(
        "spare",
        "spare:1",
        StoredState("1", Vote(), None, []),
        rng=random.Random(1),
        initial_members=(),
        now=0.0,
    )
    node.start(0.0)
    now = 0.0
    ticks = 0
    while now < 60.0:
        now += node.next_delay()
        node.handle(Tick(), now)
        ticks += 1
    # One a heartbeat interval, and a few in which a timeout falls between two of them.
    assert ticks < 60 * 11
