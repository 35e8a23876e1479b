"""What the holders of links are told and asked."""

from typing import TYPE_CHECKING, Protocol

from finchshed.admission.load_report import LoadReport
from finchshed.distribution.messages import Delta
from finchshed.link.messages import (
    Call,
    Hello,
)
from finchshed.quarantine.messages import CrashNews

if TYPE_CHECKING:
    from finchshed.link.listener import AcceptedLink
    from finchshed.link.peer import PeerLink


class LinkOwner(Protocol):
    """What the holder of links is told."""

    def hello(self, epoch: str) -> Hello:
        """Return the first line to send."""

    def link_opened(self, link: "PeerLink", hello: Hello) -> None:
        """Send calls from now on: the peer said who it is."""

    def link_closed(self, link: "PeerLink", cause: str) -> None:
        """Forget the link. Calls in progress were told before."""

    def peer_draining(self, link: "PeerLink") -> None:
        """Note that the peer takes no new calls."""

    def load_reported(self, link: "PeerLink", load: LoadReport) -> None:
        """Take the load the peer told outside of a reply."""

    def revision_seen(self, link: "PeerLink", revision: int) -> None:
        """Note the revision of the configuration the peer holds."""

    def delta_received(self, link: "PeerLink", delta: Delta) -> None:
        """Take the peer's answer to a fetch."""

    def delta_for(self, revision: int) -> Delta | None:
        """Return the configuration for a peer that holds ``revision``."""

    def crash_news_received(self, news: CrashNews) -> None:
        """Take news of requests that crash back ends."""

    def crash_news(self) -> CrashNews | None:
        """Return what a peer is told when a link to it opens; None: there is nothing."""


class ListenerOwner(Protocol):
    """What the holder of the listener is told and asked."""

    def hello(self, epoch: str) -> Hello:
        """Return the answer to a peer's Hello."""

    def call_received(self, link: "AcceptedLink", call: Call) -> None:
        """Take a call; it is answered by :meth:`AcceptedLink.reply`."""

    def call_cancelled(self, link: "AcceptedLink", call: int) -> None:
        """Drop a call in progress: its caller has given up or is gone."""

    def load_report(self) -> LoadReport:
        """Return the load to tell with a heartbeat."""

    def revision(self) -> int:
        """Return the revision in force."""

    def accepted_revision_seen(self, link: "AcceptedLink", revision: int) -> None:
        """Note the revision of the configuration the peer holds."""

    def accepted_delta_received(self, link: "AcceptedLink", delta: Delta) -> None:
        """Take the peer's answer to a fetch."""

    def delta_for(self, revision: int) -> Delta | None:
        """Return the configuration for a peer that holds ``revision``."""

    def crash_news_received(self, news: CrashNews) -> None:
        """Take news of requests that crash back ends."""

    def crash_news(self) -> CrashNews | None:
        """Return what a peer is told when a link to it opens; None: there is nothing."""
