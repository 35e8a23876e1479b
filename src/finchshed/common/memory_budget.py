"""Bounds the memory that a process uses for bodies, whichever connection holds them. No I/O.

If the bound is reached, the largest holding gives way, so that small ones go on. A holder whose
holding is dropped must free the bytes and close what they came from, or were meant for.
"""

import enum
from collections.abc import Callable

LARGE_BYTES = 65_536
"""Holdings up to this size are never dropped for others; larger ones may be."""


class HoldingKind(enum.IntEnum):
    """In which order holdings give way; the lowest first."""

    ONE_REQUEST = 0
    """Belongs to one request, which fails."""

    MANY_REQUESTS = 1
    """Belongs to a connection that carries several requests, which all fail."""

    KEPT = 2
    """Never gives way to others; all of them have only a part of the budget."""


KEPT_FRACTION = 0.5
"""Part of the budget that holdings which never give way may have together."""


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

    def open(self, kind: HoldingKind, on_dropped: Callable[[], None]) -> "Holding":
        """Return an empty holding; ``on_dropped`` is called if it must give way to another one."""
        return Holding(self, kind, on_dropped)

    def has_room(self, size: int) -> bool:
        """Return whether ``size`` bytes can be held in addition, or are few."""
        return size <= LARGE_BYTES or self.held + size <= self.limit

    def _resize(self, holding: "Holding", size: int) -> bool:
        """Change the size of ``holding``; return False, holding nothing, if there is no room."""
        self._count(holding, size)
        if self._kept > KEPT_FRACTION * self.limit:
            self._drop(holding)
            return False
        while self.held > self.limit:
            dropped = min((*self._large, holding), key=_order)
            self._drop(dropped)
            if dropped is holding:
                return False
            dropped.on_dropped()
        return True

    def _count(self, holding: "Holding", size: int) -> None:
        added = size - holding.size
        holding.size = size
        self.held += added
        if holding.kind is HoldingKind.KEPT:
            self._kept += added
        elif size > LARGE_BYTES:
            self._large[holding] = None
        else:
            self._large.pop(holding, None)

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
