"""Callback interfaces implemented by the owners of links.

They are generic over the link type, so this module need not import the link classes.
"""

from typing import Protocol, TypeVar

from finchshed.admission.load_report import LoadReport
from finchshed.distribution.messages import Delta
from finchshed.link.messages import (
    Call,
    Hello,
)
from finchshed.quarantine.messages import CrashNews

LinkT_contra = TypeVar("LinkT_contra", contravariant=True)


class LinkOwner(Protocol[LinkT_contra]):
    """Owner of links opened by this daemon."""

    def hello(self, epoch: str) -> Hello:
        """Return the Hello to send first."""

    def link_opened(self, link: LinkT_contra, hello: Hello) -> None:
        """Start using the link: the handshake is complete."""

    def link_closed(self, link: LinkT_contra, cause: str) -> None:
        """Remove the link; callbacks of its pending calls have already run."""

    def peer_draining(self, link: LinkT_contra) -> None:
        """Record that the peer accepts no new calls."""

    def load_reported(self, link: LinkT_contra, load: LoadReport) -> None:
        """Record a load report received outside a reply."""

    def revision_seen(self, link: LinkT_contra, revision: int) -> None:
        """Record the configuration revision held by the peer."""

    def delta_received(self, link: LinkT_contra, delta: Delta) -> None:
        """Apply the peer's answer to a fetch."""

    def delta_for(self, revision: int) -> Delta | None:
        """Return the changes after ``revision`` for a peer, or None."""

    def crash_news_received(self, news: CrashNews) -> None:
        """Merge updates on requests that crash back ends."""

    def crash_news(self) -> CrashNews | None:
        """Return the crash updates to send when a link opens, or None."""


class ListenerOwner(Protocol[LinkT_contra]):
    """Owner of links opened by other daemons."""

    def hello(self, epoch: str) -> Hello:
        """Return the Hello that answers a peer's Hello."""

    def call_received(self, link: LinkT_contra, call: Call) -> None:
        """Serve a call; answer it with the link's ``reply`` method."""

    def call_cancelled(self, link: LinkT_contra, call: int) -> None:
        """Drop a call in progress: its caller cancelled it or disconnected."""

    def load_report(self) -> LoadReport:
        """Return the load report for a heartbeat response."""

    def revision(self) -> int:
        """Return the configuration revision in force."""

    def accepted_revision_seen(self, link: LinkT_contra, revision: int) -> None:
        """Record the configuration revision held by the peer."""

    def accepted_delta_received(self, link: LinkT_contra, delta: Delta) -> None:
        """Apply the peer's answer to a fetch."""

    def delta_for(self, revision: int) -> Delta | None:
        """Return the changes after ``revision`` for a peer, or None."""

    def crash_news_received(self, news: CrashNews) -> None:
        """Merge updates on requests that crash back ends."""

    def crash_news(self) -> CrashNews | None:
        """Return the crash updates to send when a link opens, or None."""
