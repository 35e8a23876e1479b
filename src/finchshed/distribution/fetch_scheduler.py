"""Decides when a follower fetches missing revisions, and from which source. No I/O.

Alternates between control and the peers that
:class:`~finchshed.distribution.peer_revisions.PeerRevisions` knows to be ahead.
"""

from finchshed.distribution.effects import FetchFromControl, FetchFromPeer
from finchshed.distribution.peer_revisions import PeerRevisions

FETCH_RETRY_SECONDS = 1.0
"""Time after which an unanswered fetch is repeated, from another source if there is one."""


class FetchScheduler:
    """Schedules the fetches of one follower. ``now`` is monotonic seconds.

    Parameters
    ----------
    peers
        Revisions reported by peers.
    """

    def __init__(self, peers: PeerRevisions) -> None:
        self._peers = peers
        self._next_fetch_at = 0.0
        self._peer_is_next = False

    def fetch_now(self, now: float) -> None:
        """Allow the next fetch immediately, because a higher revision became known."""
        self._next_fetch_at = now

    def postpone(self, now: float) -> None:
        """Delay the next fetch, because control sends missing revisions after a subscription."""
        self._next_fetch_at = now + FETCH_RETRY_SECONDS

    def on_up_to_date(self) -> None:
        """Reset the order of sources, starting with control, once no revision is missing."""
        self._peer_is_next = False
        self._peers.clear_requested()

    def next_fetch(
        self, revision: int, control_connected: bool, now: float
    ) -> FetchFromControl | FetchFromPeer | None:
        """Return the fetch of what follows ``revision``, or None if none is due or possible.

        Control comes first. If it didn't answer or isn't connected, the peer with the highest
        revision is next.
        """
        if now < self._next_fetch_at:
            return None
        self._next_fetch_at = now + FETCH_RETRY_SECONDS
        peer = self._peers.next_peer_ahead(revision)
        if peer and (self._peer_is_next or not control_connected):
            self._peer_is_next = False
            self._peers.mark_requested(peer)
            return FetchFromPeer(peer, revision)
        if control_connected:
            self._peer_is_next = True
            return FetchFromControl(revision)
        return None
