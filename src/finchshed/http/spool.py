"""Budget for the total size of buffered request bodies."""

from dataclasses import dataclass


@dataclass(slots=True)
class SpoolBudget:
    """Counts buffered body bytes against a limit."""

    limit: int
    held: int = 0

    def reserve(self, size: int) -> bool:
        """Reserve ``size`` bytes; return False, reserving nothing, if they exceed the limit."""
        if self.held + size > self.limit:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Release ``size`` reserved bytes."""
        self.held -= size
