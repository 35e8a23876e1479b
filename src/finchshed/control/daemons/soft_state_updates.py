"""Changes of soft state on their way to the daemons and to the other control nodes.

Owns what waits for the next message to the daemons. Soft state is written to no log and no disk:
what is lost on the way is made good by repeating all of it.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT")

GATHER_SECONDS = 0.05
"""Shortest time between messages to the daemons.

When all machines start within a second each daemon gets some twenty updates of the directory, not
one or two a machine, and the bystanders of one crash are cleared within some tenths of a second;
beside the seconds that a drain and the news of a crash have it is little. Chosen, not measured."""


class SoftStateUpdates(Generic[ItemT]):
    """Items to send on: to daemons at once after a quiet time, else together with what follows.

    Parameters
    ----------
    key
        Returns what an item is about; of one key the last one counts.
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
        self._waiting: dict[str, ItemT] = {}
        self._timer: asyncio.TimerHandle | None = None

    def on_own_news(self, items: Sequence[ItemT]) -> None:
        """Send what became known at this node on to everyone; nothing when there is none."""
        if items:
            self._send_to_peers(tuple(items))
            self.on_peer_news(items)

    def on_peer_news(self, items: Sequence[ItemT]) -> None:
        """Send what another control node passed on to the daemons, now or with what follows."""
        for item in items:
            self._waiting[self._key(item)] = item
        if self._waiting and self._timer is None:
            self._send_waiting()

    def _send_waiting(self) -> None:
        self._timer = None
        if not self._waiting:
            return
        items = tuple(self._waiting.values())
        self._waiting = {}
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(GATHER_SECONDS, self._send_waiting)
        self._send_to_daemons(items)
