"""Computes which daemons can reach a majority of the control group under injected faults."""

from collections.abc import Callable, Sequence

from finchshed.fleet.link_conditions import Peer

Connected = Callable[[Peer, Peer], bool]
"""Returns whether traffic passes in both directions between two processes."""


def nodes_in_majority(control: Sequence[Peer], voters: int, connected: Connected) -> list[Peer]:
    """Return the control nodes that can reach a majority of the group.

    Parameters
    ----------
    control
        Running control nodes.
    voters
        Number of voters in the whole group.
    """
    majority = voters // 2 + 1
    group = []
    for node in control:
        reached = sum(other == node or connected(node, other) for other in control)
        if reached >= majority:
            group.append(node)
    return group


def daemons_reaching_control(
    daemons: Sequence[Peer], control: Sequence[Peer], voters: int, connected: Connected
) -> set[str]:
    """Return the names of daemons that can reach a control node of a majority."""
    group = nodes_in_majority(control, voters, connected)
    return {daemon.name for daemon in daemons if any(connected(daemon, node) for node in group)}
