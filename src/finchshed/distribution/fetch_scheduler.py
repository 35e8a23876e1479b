"""When a follower asks for the revisions that it lacks, and whom. Pure.

Owns the time of the next fetch and whose turn it is. Relies on
:class:`~finchshed.distribution.peer_revisions.PeerRevisions` for which peer is ahead.
"""

from finchshed.distribution.effects import FetchFromControl, FetchFromPeer
from finchshed.distribution.peer_revisions import PeerRevisions

FETCH_RETRY_SECONDS = 1.0
"""An unanswered fetch is repeated, from another source if there is one, after this long. Chosen,
not measured."""


class FetchScheduler:
    """Fetches of one follower. ``now`` is monotonic seconds.

    Parameters
    ----------
    peers
        What peers hold, as far as they reported it.
    """

    def __init__(self, peers: PeerRevisions) -> None:
        self._peers = peers
        self._due = 0.0
        self._peer_is_next = False

    def fetch_now(self, now: float) -> None:
        """Let the next fetch go out at once: there is news of a higher revision."""
        self._due = now

    def postpone(self, now: float) -> None:
        """Give control the time of one fetch to send what is missing by itself."""
        self._due = now + FETCH_RETRY_SECONDS

    def on_up_to_date(self) -> None:
        """Begin with control, and with every peer, when something is missing again."""
        self._peer_is_next = False
        self._peers.clear_asked()

    def next_fetch(
        self, revision: int, control_connected: bool, now: float
    ) -> FetchFromControl | FetchFromPeer | None:
        """Return whom to ask for what follows ``revision``; None: not yet, or nobody.

        Control is asked first; if that brought nothing, or there is none, the furthest peer.
        """
        if now < self._due:
            return None
        self._due = now + FETCH_RETRY_SECONDS
        peer = self._peers.next_peer_ahead(revision)
        if peer and (self._peer_is_next or not control_connected):
            self._peer_is_next = False
            self._peers.on_asked(peer)
            return FetchFromPeer(peer, revision)
        if control_connected:
            self._peer_is_next = True
            return FetchFromControl(revision)
        return None
