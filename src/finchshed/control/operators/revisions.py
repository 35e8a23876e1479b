"""Feed of accepted revisions for operators' watches."""

import asyncio
import collections
from collections.abc import AsyncIterator

from finchshed.configuration.store import CommittedRevision, ConfigurationStore
from finchshed.distribution.messages import Delta

RETAINED_REVISIONS = 1_024
"""Accepted changes kept; a watch that is further behind gets the full configuration."""


class RevisionFeed:
    """Keeps recent changes and notifies watches of new revisions."""

    def __init__(self, store: ConfigurationStore) -> None:
        self._store = store
        self._recent: collections.deque[CommittedRevision] = collections.deque(
            maxlen=RETAINED_REVISIONS
        )
        self._revision_changed = asyncio.Event()

    def on_committed(self, committed: CommittedRevision) -> None:
        """Add an accepted change and notify watches."""
        self._recent.append(committed)
        self._wake()

    def on_restored(self) -> None:
        """Drop the kept changes after the state was replaced with a snapshot."""
        self._recent.clear()
        self._wake()

    async def follow(self, after_revision: int) -> AsyncIterator[Delta]:
        """Yield each change after ``after_revision``, indefinitely."""
        position = after_revision
        while True:
            revision_changed = self._revision_changed
            for delta in self._deltas_after(position):
                position = delta.revision
                yield delta
            await revision_changed.wait()

    def _deltas_after(self, position: int) -> list[Delta]:
        current = self._store.revision
        if position >= current and position > 0:
            return []
        pending = [item for item in self._recent if item.revision > position]
        is_complete = len(pending) == current - position
        if position == 0 or not is_complete:
            return [Delta(0, current, tuple(self._store.resources.values()))]
        return [
            Delta(item.revision - 1, item.revision, item.puts, item.deletes) for item in pending
        ]

    def _wake(self) -> None:
        self._revision_changed.set()
        self._revision_changed = asyncio.Event()
