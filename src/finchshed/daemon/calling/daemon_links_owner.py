"""Callback interface of :class:`~finchshed.daemon.calling.daemon_links.DaemonLinks`."""

from typing import Protocol

from finchshed.admission.load_report import LoadReport
from finchshed.distribution.messages import Delta
from finchshed.link.messages import (
    Hello,
)
from finchshed.quarantine.messages import CrashNews


class DaemonLinksOwner(Protocol):
    """Receives peer events and supplies the data sent to peers."""

    def hello(self, epoch: str) -> Hello:
        """Return the Hello that opens a link."""

    def peer_up(self, endpoint: str, hello: Hello) -> None:
        """Handle an opened link, or a restarted back end behind an open one."""

    def peer_down(self, endpoint: str) -> None:
        """Handle a link that broke or could not be opened."""

    def peer_draining(self, endpoint: str) -> None:
        """Handle an endpoint that accepts no new calls."""

    def peer_load(self, endpoint: str, load: LoadReport) -> None:
        """Handle a load report from an endpoint's heartbeat."""

    def rate_limit_of(self, endpoint: str) -> float | None:
        """Return the rate limit that an endpoint's back end names, as far as known."""

    def peer_revision(self, peer: str, revision: int) -> None:
        """Handle the configuration revision reported by a peer."""

    def peer_delta(self, peer: str, delta: Delta) -> None:
        """Handle configuration sent by a peer."""

    def delta_for(self, revision: int) -> Delta | None:
        """Return the configuration for a peer at ``revision``, or None."""

    def revision(self) -> int:
        """Return the active configuration revision."""

    def crash_news_received(self, news: CrashNews) -> None:
        """Merge crash records received from a peer."""

    def crash_news(self) -> CrashNews | None:
        """Return the crash records to send on a new link, or None."""
