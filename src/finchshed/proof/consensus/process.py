"""The life of a simulated process: it starts, is frozen and continued, and ends at any moment."""

import random
from collections.abc import Callable
from typing import TypeAlias

from finchshed.proof.consensus.scheduler import Scheduler

Action: TypeAlias = Callable[[], None]


class SimulatedProcess:
    """Runs actions for as long as the process lives, and holds them back while it is frozen."""

    def __init__(self, scheduler: Scheduler, rng: random.Random) -> None:
        self.is_running = False
        self.is_frozen = False
        self._scheduler = scheduler
        self._rng = rng
        self._life = 0
        self._held: list[Action] = []

    def begin(self) -> None:
        """Start."""
        self._life += 1
        self.is_running = True

    def end(self) -> None:
        """End; whatever was planned or held back is left out."""
        self._life += 1
        self.is_running = False
        self.is_frozen = False
        self._held = []

    def freeze(self) -> None:
        """Stop as by SIGSTOP."""
        self.is_frozen = self.is_running

    def thaw(self, tick: Action) -> None:
        """Go on as by SIGCONT: the due ``tick`` comes before all that was held back, or after."""
        if not self.is_frozen:
            return
        self.is_frozen = False
        held, self._held = self._held, []
        if self._rng.random() < 0.5:
            held.append(tick)
        else:
            held.insert(0, tick)
        for action in held:
            self.later(0.0, action)

    def later(self, delay: float, action: Action) -> None:
        """Run an action after ``delay`` seconds, if the process still lives then."""
        life = self._life

        def run() -> None:
            if life == self._life:
                self.now(action)

        self._scheduler.call_later(delay, run)

    def now(self, action: Action) -> None:
        """Run an action, once the process isn't frozen."""
        if self.is_frozen:
            self._held.append(action)
        else:
            action()
