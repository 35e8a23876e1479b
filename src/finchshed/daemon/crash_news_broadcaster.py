"""Sends news of requests that crash back ends on all links, in both of their directions.

Links bring such news to the quarantine, and the quarantine sends news over the links. The list of
senders stands between: the quarantine is built first, the holders of links add themselves later.
"""

from collections.abc import Callable

from finchshed.quarantine.messages import CrashNews


class CrashNewsBroadcaster:
    """Senders are called in the order in which they were added."""

    def __init__(self) -> None:
        self._senders: list[Callable[[CrashNews], None]] = []

    def add(self, send: Callable[[CrashNews], None]) -> None:
        """Send later news by ``send`` as well."""
        self._senders.append(send)

    def send(self, news: CrashNews) -> None:
        """Send news on all links that are open."""
        for send in self._senders:
            send(news)
