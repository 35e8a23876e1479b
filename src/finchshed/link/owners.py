"""What the holders of links do for them; the type of the link is the parameter.

So the ends of a link import this, and this imports neither of them.
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
    """The holder of links that this daemon opened."""

    def hello(self, epoch: str) -> Hello:
        """Return the first line to send."""

    def link_opened(self, link: LinkT_contra, hello: Hello) -> None:
        """Send calls from now on: the peer said who it is."""

    def link_closed(self, link: LinkT_contra, cause: str) -> None:
        """Forget the link. The ends of its calls were reported before."""

    def peer_draining(self, link: LinkT_contra) -> None:
        """Note that the peer takes no new calls."""

    def load_reported(self, link: LinkT_contra, load: LoadReport) -> None:
        """Note the load the peer reported outside of a reply."""

    def revision_seen(self, link: LinkT_contra, revision: int) -> None:
        """Note the revision of the configuration the peer holds."""

    def delta_received(self, link: LinkT_contra, delta: Delta) -> None:
        """Use the peer's answer to a fetch."""

    def delta_for(self, revision: int) -> Delta | None:
        """Return the configuration for a peer that holds ``revision``."""

    def crash_news_received(self, news: CrashNews) -> None:
        """Merge news of requests that crash back ends."""

    def crash_news(self) -> CrashNews | None:
        """Return the news that a peer is sent when a link to it opens; None: there is none."""


class ListenerOwner(Protocol[LinkT_contra]):
    """The holder of the links that other daemons opened."""

    def hello(self, epoch: str) -> Hello:
        """Return the answer to a peer's Hello."""

    def call_received(self, link: LinkT_contra, call: Call) -> None:
        """Serve a call; it is answered by the reply of its link."""

    def call_cancelled(self, link: LinkT_contra, call: int) -> None:
        """Drop a call in progress: its caller has given up or is gone."""

    def load_report(self) -> LoadReport:
        """Return the load to report with a heartbeat."""

    def revision(self) -> int:
        """Return the revision in force."""

    def accepted_revision_seen(self, link: LinkT_contra, revision: int) -> None:
        """Note the revision of the configuration the peer holds."""

    def accepted_delta_received(self, link: LinkT_contra, delta: Delta) -> None:
        """Use the peer's answer to a fetch."""

    def delta_for(self, revision: int) -> Delta | None:
        """Return the configuration for a peer that holds ``revision``."""

    def crash_news_received(self, news: CrashNews) -> None:
        """Merge news of requests that crash back ends."""

    def crash_news(self) -> CrashNews | None:
        """Return the news that a peer is sent when a link to it opens; None: there is none."""
