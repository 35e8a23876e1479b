"""The emulator's clock, which schedules callbacks as simpy events.

A callback needs one simpy event, where a generator process would need several per step.
"""

from collections.abc import Callable
from typing import Any

import simpy


class Timer(simpy.Event):  # type: ignore[misc]
    """A scheduled callback that can be cancelled."""

    def __init__(
        self,
        environment: simpy.Environment,
        delay: float,
        function: Callable[..., object],
        arguments: tuple[Any, ...],
    ) -> None:
        self.env = environment
        self.callbacks = [self._fire]
        self._ok = True
        self._value = None
        self._defused = False
        self._function: Callable[..., object] | None = function
        self._arguments = arguments
        environment.schedule(self, delay=delay)

    def cancel(self) -> None:
        """Cancel the callback; no effect if it has already run."""
        self._function = None

    def _fire(self, _: simpy.Event) -> None:
        function = self._function
        self._function = None
        if function is not None:
            function(*self._arguments)


class Clock:
    """Simulated time in seconds since the start of the run, and its callbacks."""

    def __init__(self) -> None:
        self._environment = simpy.Environment()

    @property
    def now(self) -> float:
        """Current simulated time."""
        return float(self._environment._now)

    def call_later(self, delay: float, function: Callable[..., object], *arguments: Any) -> Timer:
        """Call ``function`` after ``delay`` seconds; a negative delay counts as zero."""
        return Timer(self._environment, max(delay, 0.0), function, arguments)

    def call_at(self, time: float, function: Callable[..., object], *arguments: Any) -> Timer:
        """Call ``function`` at ``time``."""
        return self.call_later(time - self.now, function, *arguments)

    def run_until(self, time: float) -> None:
        """Run every callback due before ``time``."""
        self._environment.run(until=time)
