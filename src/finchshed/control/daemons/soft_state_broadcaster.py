"""Batches changes of soft state and sends them to daemons and the other control nodes.

Owns the changes that wait for the next batch. Soft state is not persisted; lost messages are
repaired by periodic full reports.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT")

BATCH_INTERVAL_SECONDS = 0.05
"""Minimum interval between messages to the daemons.

Limits the number of updates when many machines start at once, at a delay that is short compared to
a drain or to crash detection. When all machines start within a second, each daemon gets some twenty
directory updates rather than one or two for each machine."""


class SoftStateBroadcaster(Generic[ItemT]):
    """Sends items at once if no batch was sent recently, otherwise in the next batch.

    Parameters
    ----------
    key
        Returns the key of an item; a later item replaces an earlier one with the same key.
    send_to_daemons
        Sends items to every daemon connected here.
    send_to_peers
        Sends items to every other control node.
    """

    def __init__(
        self,
        key: Callable[[ItemT], str],
        send_to_daemons: Callable[[tuple[ItemT, ...]], None],
        send_to_peers: Callable[[tuple[ItemT, ...]], None],
    ) -> None:
        self._key = key
        self._send_to_daemons = send_to_daemons
        self._send_to_peers = send_to_peers
        self._pending: dict[str, ItemT] = {}
        self._timer: asyncio.TimerHandle | None = None

    def on_local_changes(self, items: Sequence[ItemT]) -> None:
        """Send local changes to daemons and peers; does nothing if ``items`` is empty."""
        if items:
            self._send_to_peers(tuple(items))
            self.on_peer_changes(items)

    def on_peer_changes(self, items: Sequence[ItemT]) -> None:
        """Send changes reported by a peer to the daemons, now or in the next batch."""
        for item in items:
            self._pending[self._key(item)] = item
        if self._pending and self._timer is None:
            self._flush()

    def _flush(self) -> None:
        self._timer = None
        if not self._pending:
            return
        items = tuple(self._pending.values())
        self._pending = {}
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(BATCH_INTERVAL_SECONDS, self._flush)
        self._send_to_daemons(items)
