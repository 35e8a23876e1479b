"""Records faults and failed actions during a run, with times relative to its start."""

import pathlib
import time

from finchshed.proof.history import Event


class FaultJournal:
    """Collects events that only the fault injector and the observer know.

    Parameters
    ----------
    began
        Start of the history on the machine's monotonic clock, in seconds.
    """

    def __init__(self, began: float) -> None:
        self.began = began
        self.events: list[Event] = []
        self.problems: list[str] = []

    def now(self) -> float:
        """Return seconds since the start of the history."""
        return time.monotonic() - self.began

    def add(self, event: Event) -> None:
        """Append an event of the history."""
        self.events.append(event)

    def add_problem(self, text: str) -> None:
        """Record a failure, prefixed with the current time."""
        self.problems.append(f"{self.now():.2f} s: {text}")

    def write(self, path: pathlib.Path) -> None:
        """Write the problems to a text file."""
        path.write_text("".join(f"{line}\n" for line in self.problems))
