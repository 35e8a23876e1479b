"""Revisions that other daemons reported, and which of them to ask for a configuration. Pure.

Owns what was reported; nothing of it comes into force by itself.
"""

from collections.abc import Iterable


class PeerRevisions:
    """What peers hold, as far as they reported it.

    A link reports a revision once, so a peer is remembered until what it holds is held here too.
    """

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}
        self._asked: set[str] = set()

    def record(self, peer: str, revision: int) -> None:
        """Keep a revision that ``peer`` reported."""
        self._revisions[peer] = max(revision, self._revisions.get(peer, 0))

    def clear(self) -> None:
        """Forget every peer: nothing is to be had of them."""
        self._revisions.clear()
        self._asked.clear()

    def clear_asked(self) -> None:
        """Let every peer be asked again."""
        self._asked.clear()

    def count_reported(self, peers: Iterable[str]) -> int:
        """Return how many of ``peers`` reported their revision."""
        return sum(1 for peer in peers if peer in self._revisions)

    def next_peer_ahead(self, revision: int) -> str:
        """Return the furthest peer past ``revision`` that wasn't asked yet, or empty.

        Once all were asked it begins again, so one that doesn't answer is not the only one asked.
        """
        ahead = {peer for peer, held in self._revisions.items() if held > revision}
        if ahead and ahead <= self._asked:
            self._asked.clear()
        return max(ahead - self._asked, key=lambda peer: (self._revisions[peer], peer), default="")

    def on_asked(self, peer: str) -> None:
        """Note that ``peer`` was asked."""
        self._asked.add(peer)
