"""Which daemons can reach a majority of the control nodes, worked out from the injected faults."""

from collections.abc import Callable, Sequence

from finchshed.fleet.link_conditions import Peer

Connected = Callable[[Peer, Peer], bool]
"""Whether bytes pass both ways between two processes."""


def serving_group(control: Sequence[Peer], voters: int, connected: Connected) -> list[Peer]:
    """Return the control nodes that can be part of a working majority.

    Parameters
    ----------
    control
        Control nodes that run.
    voters
        Size of the whole group.
    """
    majority = voters // 2 + 1
    group = []
    for node in control:
        reached = sum(other == node or connected(node, other) for other in control)
        if reached >= majority:
            group.append(node)
    return group


def reaching(
    daemons: Sequence[Peer], control: Sequence[Peer], voters: int, connected: Connected
) -> set[str]:
    """Return the names of the daemons that can reach a control node of a working majority."""
    group = serving_group(control, voters, connected)
    return {daemon.name for daemon in daemons if any(connected(daemon, node) for node in group)}
