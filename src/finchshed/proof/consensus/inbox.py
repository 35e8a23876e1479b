"""Events on their way into a simulated node, which is busy now and then.

Owns what came while the process was busy. Relies on the process to run a delayed step only in the
life that asked for it.
"""

import random
from collections.abc import Callable

from finchshed.consensus.events import Event
from finchshed.proof.consensus.process import SimulatedProcess

_BUSY_CHANCE = 0.15
"""How often an event finds the process busy."""
_BUSY_SECONDS = 0.005
"""Longest time that the process stays busy."""


class Inbox:
    """Hands events to the node one by one, or several at once after a busy time."""

    def __init__(
        self, process: SimulatedProcess, rng: random.Random, step: Callable[[list[Event]], None]
    ) -> None:
        self._process = process
        self._rng = rng
        self._step = step
        self._events: list[Event] = []
        self._flush_planned = False

    def clear(self) -> None:
        """Forget what came in an earlier life of the process."""
        self._events = []
        self._flush_planned = False

    def add(self, event: Event) -> None:
        """Handle an event now, or with others that come while the process is busy."""
        self._events.append(event)
        if self._flush_planned:
            return
        if self._rng.random() < _BUSY_CHANCE:
            self._flush_planned = True
            delay = self._rng.uniform(0.0, _BUSY_SECONDS)
            self._process.later(delay, self._flush)
        else:
            self._process.now(self._flush)

    def _flush(self) -> None:
        self._flush_planned = False
        events, self._events = self._events, []
        if events:
            self._step(events)
