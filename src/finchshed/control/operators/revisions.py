"""Feed of accepted revisions for operators' watches."""

import asyncio
from collections.abc import AsyncIterator

from finchshed.configuration.store import CommittedRevision, ConfigurationStore
from finchshed.distribution.delta_history import DeltaHistory
from finchshed.distribution.messages import Delta

RETAINED_REVISIONS = 1_024
"""Accepted changes kept; a watch that is further behind gets the full configuration."""


class RevisionFeed:
    """Keeps recent changes and notifies watches of new revisions.

    Parameters
    ----------
    max_bytes
        Maximum size of the kept changes, in encoded form.
    """

    def __init__(self, store: ConfigurationStore, max_bytes: int) -> None:
        self._store = store
        self._history = DeltaHistory(RETAINED_REVISIONS, max_bytes)
        self._revision_changed = asyncio.Event()

    @property
    def encoded_bytes(self) -> int:
        """Size of the kept changes in encoded form."""
        return self._history.encoded_bytes

    def on_committed(self, committed: CommittedRevision) -> None:
        """Add an accepted change and notify watches."""
        before = committed.revision - 1
        change = Delta(before, committed.revision, committed.puts, committed.deletes)
        self._history.append(change)
        self._wake()

    def on_restored(self) -> None:
        """Drop the kept changes after the state was replaced with a snapshot."""
        self._history.clear()
        self._wake()

    async def follow(self, after_revision: int) -> AsyncIterator[Delta]:
        """Yield each change after ``after_revision``, indefinitely.

        A watch holds no more than the change that it sends, however slowly that is read.
        """
        position = after_revision or None
        while True:
            revision_changed = self._revision_changed
            delta = self._next_after(position)
            if delta is None:
                await revision_changed.wait()
            else:
                position = delta.revision
                yield delta

    def _next_after(self, position: int | None) -> Delta | None:
        """Return what follows ``position``, where None is a watch that has nothing yet."""
        current = self._store.revision
        if position is not None:
            if position >= current:
                return None
            change = self._history.first_after(position)
            if change is not None:
                return change
        return Delta(0, current, tuple(self._store.resources.values()))

    def _wake(self) -> None:
        self._revision_changed.set()
        self._revision_changed = asyncio.Event()
