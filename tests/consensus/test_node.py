"""Timer behaviour of a single node."""

import random

from finchshed.consensus.events import Tick
from finchshed.consensus.node import RaftNode
from finchshed.storage.records import StoredState, Vote


def test_ineligible_node_waits_between_ticks() -> None:
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
    # One tick per heartbeat interval, plus a few election timeouts in between.
    assert ticks < 60 * 11
