"""The bytes of bodies that a daemon holds at a time: past them requests are refused, not read."""

from dataclasses import dataclass


@dataclass(slots=True)
class SpoolBudget:
    """Bytes of bodies held at a time."""

    limit: int
    held: int = 0

    def reserve(self, size: int) -> bool:
        """Count ``size`` bytes; return False, counting nothing, where they don't fit."""
        if self.held + size > self.limit:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Count ``size`` bytes as no longer held."""
        self.held -= size
