"""The latest deltas, kept to bring someone a few changes behind up to date. Pure.

Owns those deltas; its size is bounded in changes and in items.
"""

from collections import deque

from finchshed.distribution.messages import Delta
from finchshed.distribution.snapshot import Configuration, full_delta, merge

ITEM_LIMIT = 20_000
"""Resources and keys kept in all deltas together: bounds the memory. Chosen, not measured."""


class DeltaHistory:
    """Deltas that follow each other, the oldest forgotten first.

    Parameters
    ----------
    limit
        Most deltas kept.
    item_limit
        Most resources and keys kept in all deltas together; this bounds the memory.
    """

    def __init__(self, limit: int, item_limit: int = ITEM_LIMIT) -> None:
        self._limit = limit
        self._item_limit = item_limit
        self._deltas: deque[Delta] = deque()
        self._items = 0

    def __len__(self) -> int:
        return len(self._deltas)

    def clear(self) -> None:
        """Forget all."""
        self._deltas.clear()
        self._items = 0

    def append(self, delta: Delta) -> None:
        """Keep a delta that was applied; a whole configuration forgets what came before it."""
        if delta.base == 0:
            self.clear()
            return
        held = self._deltas[-1].revision if self._deltas else delta.base
        # What an overlapping delta repeats is equal, so it may be said to start later.
        base = max(delta.base, held)
        self._deltas.append(Delta(base, delta.revision, delta.puts, delta.deletes))
        self._items += _items_of(delta)
        while len(self._deltas) > self._limit or self._items > self._item_limit:
            self._items -= _items_of(self._deltas.popleft())

    def between(self, base: int, configuration: Configuration) -> Delta:
        """Return what brings ``base`` to ``configuration``: merged changes, or the whole."""
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
