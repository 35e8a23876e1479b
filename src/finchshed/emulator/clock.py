"""The emulator's clock: timed callbacks over simpy.

Processes written as simpy generators cost several events per step; callbacks cost one, which
matters at tens of thousands of requests a run.
"""

from collections.abc import Callable
from typing import Any

import simpy


class Timer(simpy.Event):  # type: ignore[misc]
    """A callback due at a time, that may be cancelled."""

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
        """Make the callback not happen. Harmless once it has happened."""
        self._function = None

    def _fire(self, _: simpy.Event) -> None:
        function = self._function
        self._function = None
        if function is not None:
            function(*self._arguments)


class Clock:
    """Simulated time, seconds since the start of the run."""

    def __init__(self) -> None:
        self._environment = simpy.Environment()

    @property
    def now(self) -> float:
        """Present simulated time."""
        return float(self._environment._now)

    def call_later(self, delay: float, function: Callable[..., object], *arguments: Any) -> Timer:
        """Call ``function`` after ``delay`` seconds (at once in this instant if negative)."""
        return Timer(self._environment, max(delay, 0.0), function, arguments)

    def call_at(self, time: float, function: Callable[..., object], *arguments: Any) -> Timer:
        """Call ``function`` at ``time``."""
        return self.call_later(time - self.now, function, *arguments)

    def run_until(self, time: float) -> None:
        """Run every callback due before ``time``."""
        self._environment.run(until=time)
