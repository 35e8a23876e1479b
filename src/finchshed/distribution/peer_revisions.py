"""Tracks the revisions reported by peers and selects the peer to fetch from. No I/O."""

from collections.abc import Iterable


class PeerRevisions:
    """Revisions reported by peers.

    A link reports each revision only once, so entries are kept until this daemon has caught up.
    """

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}
        self._requested: set[str] = set()

    def record(self, peer: str, revision: int) -> None:
        """Record a revision that ``peer`` reported."""
        self._revisions[peer] = max(revision, self._revisions.get(peer, 0))

    def clear(self) -> None:
        """Remove all peers."""
        self._revisions.clear()
        self._requested.clear()

    def clear_requested(self) -> None:
        """Allow a request to every peer again."""
        self._requested.clear()

    def count_reported(self, peers: Iterable[str]) -> int:
        """Return how many of ``peers`` have reported a revision."""
        return sum(1 for peer in peers if peer in self._revisions)

    def next_peer_ahead(self, revision: int) -> str:
        """Return the peer with the highest revision above ``revision``, or an empty string.

        Peers that were sent a request are skipped until all were, so that a peer that
        doesn't answer isn't asked repeatedly.
        """
        ahead = {peer for peer, held in self._revisions.items() if held > revision}
        if ahead and ahead <= self._requested:
            self._requested.clear()
        return max(
            ahead - self._requested, key=lambda peer: (self._revisions[peer], peer), default=""
        )

    def mark_requested(self, peer: str) -> None:
        """Mark ``peer`` as asked."""
        self._requested.add(peer)
