"""What the fault layer did during a run, on the run's clock.

Owns the events that only the fault layer knows, and the acts that failed.
"""

import pathlib
import time

from finchshed.proof.history import Event


class FaultJournal:
    """Collects events of the history that only the fault layer knows.

    Parameters
    ----------
    began
        Start of the history on the machine's monotonic clock, seconds.
    """

    def __init__(self, began: float) -> None:
        self.began = began
        self.events: list[Event] = []
        self.problems: list[str] = []

    def now(self) -> float:
        """Return seconds since the start of the history."""
        return time.monotonic() - self.began

    def add(self, event: Event) -> None:
        """Note an event."""
        self.events.append(event)

    def problem(self, text: str) -> None:
        """Note something that must not have happened."""
        self.problems.append(f"{self.now():.2f} s: {text}")

    def write(self, path: pathlib.Path) -> None:
        """Write the problems for people."""
        path.write_text("".join(f"{line}\n" for line in self.problems))
