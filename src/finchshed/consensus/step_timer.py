"""The timer of a host, which gives its node a step when a duty is due and no event comes.

All hosts use it, in production and in simulation.
"""

import functools
import math
from collections.abc import Callable
from typing import TypeAlias

from finchshed.consensus.node import RaftNode

Arm: TypeAlias = Callable[[float, Callable[[], None]], object]
"""Calls a function after a delay in seconds; what it returns is not used."""


class StepTimer:
    """Keeps one timer armed for the time at which the node's next duty is due.

    Once armed it is replaced by an earlier one only. If the duty moved to a later time meanwhile,
    the step finds nothing due, and the timer is armed anew.

    Parameters
    ----------
    node
        The node, after its start.
    arm
        Arms a timer of the host.
    step
        Gives the node a step without events; it calls :meth:`rearm` at its end.
    """

    def __init__(self, node: RaftNode, arm: Arm, step: Callable[[], None]) -> None:
        self._node = node
        self._arm = arm
        self._step = step
        self._armed_for = math.inf

    def rearm(self) -> None:
        """Arm the timer if none is armed that fires in time; called after each step."""
        delay = self._node.next_delay()
        due = self._node.now + delay
        if due >= self._armed_for:
            return
        self._armed_for = due
        self._arm(delay, functools.partial(self._fire, due))

    def _fire(self, due: float) -> None:
        if due == self._armed_for:
            self._armed_for = math.inf
            self._step()
