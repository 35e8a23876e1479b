"""Soft state on its way to the daemons: sent at once after a quiet time, else gathered."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT")

GATHER_SECONDS = 0.05
"""Shortest time between messages to the daemons.

When all machines start within a second each daemon gets some twenty updates of the directory, not
one or two a machine, and the bystanders of one crash are cleared within some tenths of a second;
beside the seconds that a drain and the news of a crash have it is little."""


class Gathering(Generic[ItemT]):
    """Items that wait for the next message; of one key the last one counts.

    Parameters
    ----------
    key
        Returns what an item is about.
    send
        Sends what was gathered.
    """

    def __init__(
        self, key: Callable[[ItemT], str], send: Callable[[tuple[ItemT, ...]], None]
    ) -> None:
        self._key = key
        self._send = send
        self._items: dict[str, ItemT] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, items: Iterable[ItemT]) -> None:
        """Send items, now or together with what follows."""
        for item in items:
            self._items[self._key(item)] = item
        if self._items and self._timer is None:
            self._send_gathered()

    def _send_gathered(self) -> None:
        self._timer = None
        if not self._items:
            return
        items = tuple(self._items.values())
        self._items = {}
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(GATHER_SECONDS, self._send_gathered)
        self._send(items)
