"""Bounded history of recent deltas, used to update receivers that are a few changes behind."""

from collections import deque

from finchshed.distribution.messages import Delta
from finchshed.distribution.snapshot import Configuration, full_delta, merge

ITEM_LIMIT = 20_000
"""Default maximum number of resources and keys kept over all deltas, to bound memory."""


class DeltaHistory:
    """Consecutive deltas; the oldest are evicted first.

    Parameters
    ----------
    limit
        Maximum number of deltas.
    item_limit
        Maximum number of resources and keys over all deltas.
    """

    def __init__(self, limit: int, item_limit: int = ITEM_LIMIT) -> None:
        self._limit = limit
        self._item_limit = item_limit
        self._deltas: deque[Delta] = deque()
        self._items = 0

    def __len__(self) -> int:
        return len(self._deltas)

    def clear(self) -> None:
        """Remove all deltas."""
        self._deltas.clear()
        self._items = 0

    def append(self, delta: Delta) -> None:
        """Append an applied delta; a full configuration clears the history instead."""
        if delta.base == 0:
            self.clear()
            return
        held = self._deltas[-1].revision if self._deltas else delta.base
        # The overlap repeats equal states, so the delta may start at the end of the history.
        base = max(delta.base, held)
        self._deltas.append(Delta(base, delta.revision, delta.puts, delta.deletes))
        self._items += _items_of(delta)
        while len(self._deltas) > self._limit or self._items > self._item_limit:
            self._items -= _items_of(self._deltas.popleft())

    def between(self, base: int, configuration: Configuration) -> Delta:
        """Return the delta from ``base`` to ``configuration``, merged or full if that is shorter.

        The delta is also full if the history doesn't reach back to ``base``.
        """
        reaches_back = bool(self._deltas) and self._deltas[0].base <= base
        if base == 0 or not reaches_back:
            return full_delta(configuration)
        merged = merge(
            delta for delta in self._deltas if base < delta.revision <= configuration.revision
        )
        if len(merged.puts) >= len(configuration.resources):
            return full_delta(configuration)
        return merged


def _items_of(delta: Delta) -> int:
    return len(delta.puts) + len(delta.deletes)
