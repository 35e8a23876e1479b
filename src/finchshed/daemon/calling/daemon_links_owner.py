"""What the holder of the links to other daemons reports and asks."""

from typing import Protocol

from finchshed.admission.load_report import LoadReport
from finchshed.distribution.messages import Delta
from finchshed.link.messages import (
    Hello,
)
from finchshed.quarantine.messages import CrashNews


class DaemonLinksOwner(Protocol):
    """What the owner of the links does for them."""

    def hello(self, epoch: str) -> Hello:
        """Return the first line of a link."""

    def peer_up(self, endpoint: str, incarnation: str) -> None:
        """Note that the link to an endpoint is open, or that its back end was restarted."""

    def peer_down(self, endpoint: str) -> None:
        """Note that the link to an endpoint broke or could not be opened."""

    def peer_draining(self, endpoint: str) -> None:
        """Note that an endpoint takes no new calls."""

    def peer_load(self, endpoint: str, load: LoadReport) -> None:
        """Note the load that an endpoint reported with a heartbeat."""

    def peer_revision(self, peer: str, revision: int) -> None:
        """Note the revision a peer holds."""

    def peer_delta(self, peer: str, delta: Delta) -> None:
        """Use configuration that a peer sent."""

    def delta_for(self, revision: int) -> Delta | None:
        """Return the configuration for a peer that holds ``revision``."""

    def revision(self) -> int:
        """Return the revision in force."""

    def crash_news_received(self, news: CrashNews) -> None:
        """Merge news of requests that crash back ends."""

    def crash_news(self) -> CrashNews | None:
        """Return the news that a peer is sent when a link to it opens; None: there is none."""
