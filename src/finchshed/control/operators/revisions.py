"""Lets operators' watches follow accepted revisions."""

import asyncio
import collections
from collections.abc import AsyncIterator

from finchshed.configuration.store import CommittedRevision, ConfigurationStore
from finchshed.distribution.messages import Delta

REVISIONS_KEPT = 1_024
"""Accepted changes kept for watches; who is further behind gets the whole configuration."""


class RevisionFeed:
    """Wakes watches when a revision is accepted."""

    def __init__(self, store: ConfigurationStore) -> None:
        self._store = store
        self._recent: collections.deque[CommittedRevision] = collections.deque(
            maxlen=REVISIONS_KEPT
        )
        self._changed = asyncio.Event()

    def on_committed(self, committed: CommittedRevision) -> None:
        """Take an accepted change."""
        self._recent.append(committed)
        self._wake()

    def on_restored(self) -> None:
        """Forget single changes: the whole state was replaced."""
        self._recent.clear()
        self._wake()

    async def follow(self, after_revision: int) -> AsyncIterator[Delta]:
        """Yield each change after ``after_revision``, without end."""
        position = after_revision
        while True:
            changed = self._changed
            for delta in self._deltas_after(position):
                position = delta.revision
                yield delta
            await changed.wait()

    def _deltas_after(self, position: int) -> list[Delta]:
        current = self._store.revision
        if position >= current and position > 0:
            return []
        pending = [item for item in self._recent if item.revision > position]
        complete = len(pending) == current - position
        if position == 0 or not complete:
            return [Delta(0, current, tuple(self._store.resources.values()))]
        return [
            Delta(item.revision - 1, item.revision, item.puts, item.deletes) for item in pending
        ]

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
