"""Simulated time."""

from collections.abc import Callable, Generator
from typing import Any, TypeAlias

import simpy

Process: TypeAlias = Generator[simpy.Event, Any, Any]


class Scheduler:
    """Runs callbacks and processes in simulated time; ties go in the order of scheduling."""

    def __init__(self) -> None:
        self.environment = simpy.Environment()

    @property
    def now(self) -> float:
        """Present simulated time, in seconds."""
        return float(self.environment.now)

    def call_later(self, delay: float, function: Callable[[], None]) -> None:
        """Call ``function`` after ``delay`` seconds."""
        timeout = self.environment.timeout(delay)
        timeout.callbacks.append(lambda _event: function())

    def sleep(self, seconds: float) -> simpy.Event:
        """Return an event that a process yields to wait."""
        return self.environment.timeout(seconds)

    def event(self) -> simpy.Event:
        """Return an event to be triggered later."""
        return self.environment.event()

    def start(self, process: Process) -> simpy.Process:
        """Run a process beside the others."""
        return self.environment.process(process)

    def run_until(self, until: simpy.Event) -> None:
        """Run until an event has happened."""
        self.environment.run(until=until)
