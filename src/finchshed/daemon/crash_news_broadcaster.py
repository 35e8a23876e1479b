"""Sends crash records on all links, outgoing and accepted.

Breaks the cyclic dependency between quarantine and links: the quarantine is built first, and the
link owners register their send functions later.
"""

from collections.abc import Callable

from finchshed.quarantine.messages import CrashNews


class CrashNewsBroadcaster:
    """Calls senders in the order in which they were added."""

    def __init__(self) -> None:
        self._senders: list[Callable[[CrashNews], None]] = []

    def add(self, send: Callable[[CrashNews], None]) -> None:
        """Register a send function."""
        self._senders.append(send)

    def send(self, news: CrashNews) -> None:
        """Send crash records on all open links."""
        for send in self._senders:
            send(news)
