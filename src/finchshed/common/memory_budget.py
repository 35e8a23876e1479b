"""Bounds the memory that a process uses for its peers, whichever connection holds it. No I/O.

If the bound is reached, the largest holding gives way, so that small ones go on. A holder whose
holding is dropped must free the bytes and close what they came from, or were meant for.
"""

import enum
from collections.abc import Callable

LARGE_BYTES = 65_536
"""Holdings up to this size are dropped only for such that are half as large or smaller."""


SMALL_KEPT_BYTES = 16_384
"""Kept holdings up to this size find room beside large ones that have all of their part."""


class HoldingKind(enum.IntEnum):
    """In which order holdings give way; the lowest first."""

    ONE_REQUEST = 0
    """Belongs to one request, which fails."""

    MANY_REQUESTS = 1
    """Belongs to a connection that carries several requests, which all fail."""

    KEPT = 2
    """Never gives way to others; those that aren't small have only a part of the budget."""


KEPT_FRACTION = 0.5
"""Part of the budget that holdings which never give way may have together, but for small ones."""


class MemoryBudget:
    """Counts held bytes against a limit.

    Parameters
    ----------
    limit
        Maximum number of bytes held at a time.

    Attributes
    ----------
    held
        Number of bytes held.
    dropped
        Number of holdings that gave way or found no room.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self.dropped = 0
        self._kept = 0
        self._large: dict[Holding, None] = {}
        # Small holdings of one request, by the bits of their size.
        self._small: list[dict[Holding, None]] = [{} for _ in range(LARGE_BYTES.bit_length() + 1)]

    def open(self, kind: HoldingKind, on_dropped: Callable[[], None]) -> "Holding":
        """Return an empty holding; ``on_dropped`` is called if it must give way to another one."""
        return Holding(self, kind, on_dropped)

    def has_room(self, size: int) -> bool:
        """Return whether ``size`` bytes can be held in addition, or are few."""
        return size <= LARGE_BYTES or self.held + size <= self.limit

    def _resize(self, holding: "Holding", size: int) -> bool:
        """Change the size of ``holding``; return False, holding nothing, if there is no room."""
        self._count(holding, size)
        if size > SMALL_KEPT_BYTES and self._kept > KEPT_FRACTION * self.limit:
            self._drop(holding)
            return False
        while self.held > self.limit:
            dropped = min((holding, *self._large), key=_order)
            if dropped is holding:
                dropped = self._larger_small(holding) or holding
            self._drop(dropped)
            if dropped is holding:
                return False
            dropped.on_dropped()
        return True

    def _larger_small(self, holding: "Holding") -> "Holding | None":
        """Return the oldest of the largest small holdings, if they are larger than ``holding``."""
        if holding.kind is not HoldingKind.ONE_REQUEST:
            return None
        for holdings in reversed(self._small[holding.size.bit_length() + 1 :]):
            if holdings:
                return next(iter(holdings))
        return None

    def _count(self, holding: "Holding", size: int) -> None:
        self._note_small(holding, size)
        added = size - holding.size
        holding.size = size
        self.held += added
        if holding.kind is HoldingKind.KEPT:
            self._kept += added
        elif size > LARGE_BYTES:
            self._large[holding] = None
        else:
            self._large.pop(holding, None)

    def _note_small(self, holding: "Holding", size: int) -> None:
        if holding.kind is not HoldingKind.ONE_REQUEST:
            return
        before = holding.size.bit_length() if 0 < holding.size <= LARGE_BYTES else 0
        after = size.bit_length() if size <= LARGE_BYTES else 0
        if before == after:
            return
        if before:
            del self._small[before][holding]
        if after:
            self._small[after][holding] = None

    def _drop(self, holding: "Holding") -> None:
        self.dropped += 1
        self._count(holding, 0)


class Holding:
    """Bytes held by one holder; see :meth:`MemoryBudget.open`."""

    __slots__ = ("_budget", "kind", "on_dropped", "size")

    def __init__(
        self, budget: MemoryBudget, kind: HoldingKind, on_dropped: Callable[[], None]
    ) -> None:
        self._budget = budget
        self.kind = kind
        self.on_dropped = on_dropped
        self.size = 0

    def resize(self, size: int) -> bool:
        """Hold ``size`` bytes; return False, holding nothing, if there is no room for them.

        ``on_dropped`` isn't called then.
        """
        if size == self.size:
            return True
        return self._budget._resize(self, size)

    def release(self) -> None:
        """Hold nothing."""
        if self.size:
            self._budget._count(self, 0)


def _order(holding: Holding) -> tuple[int, int]:
    """Sort key: the one to give way first is the least."""
    return holding.kind, -holding.size
