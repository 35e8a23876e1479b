"""What links tell this daemon and ask of it, at both of their ends."""

import random
from collections.abc import Callable

from finchshed.admission.load_report import LoadReport
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.daemon.calling.platform_hints import PlatformHints
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.callee import Callee
from finchshed.daemon.settings import DaemonSettings
from finchshed.distribution.driver import FollowerDriver
from finchshed.distribution.messages import Delta
from finchshed.link.listener import AcceptedLink
from finchshed.link.messages import (
    Call,
    Hello,
    Reply,
)
from finchshed.quarantine.messages import CrashNews
from finchshed.retry.policy import retry_after
from finchshed.routing.table import RoutingTable
from finchshed.runtime import clock


class LinkSide:
    """Owner of the links this daemon opens and of those it accepts.

    Parameters
    ----------
    incarnation
        What peers tell one life of this endpoint from the next by.
    takes_nothing
        Tells whether any sign says that this endpoint leaves.

    Attributes
    ----------
    callee
        Takes the calls that come in; None on an edge.
    endpoint, service
        Name and service of the endpoint as others know it; empty on an edge.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        driver: FollowerDriver,
        table: RoutingTable,
        platform: PlatformHints,
        quarantine: Quarantine,
        *,
        incarnation: str,
        takes_nothing: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self.incarnation = incarnation
        self.endpoint = settings.endpoint
        self.service = settings.service
        self.callee: Callee | None = None
        self._settings = settings
        self._driver = driver
        self._table = table
        self._platform = platform
        self._quarantine = quarantine
        self._takes_nothing = takes_nothing
        self._rng = rng

    def hello(self, epoch: str) -> Hello:
        """Return this daemon's first line."""
        return Hello(
            node=self.endpoint or self._settings.node,
            incarnation=self.incarnation,
            epoch=epoch,
            service=self.service,
            zone=self._settings.zone,
            revision=self.revision(),
            draining=self._takes_nothing(),
        )

    def revision(self) -> int:
        """Return the revision in force."""
        return self._driver.follower.revision

    def delta_for(self, revision: int) -> Delta | None:
        """Return the configuration for a peer that holds ``revision``."""
        return self._driver.follower.answer_fetch(revision)

    def crash_news_received(self, news: CrashNews) -> None:
        """Take what a peer tells of requests that crash back ends."""
        self._quarantine.on_link_news(news.records)

    def crash_news(self) -> CrashNews | None:
        """Return what a peer is told when a link opens."""
        return self._quarantine.news_for_link()

    def load_report(self) -> LoadReport:
        """Return the load to tell with a heartbeat."""
        if self.callee is None:
            return LoadReport(draining=self._takes_nothing())
        return self.callee.load_report()

    def call_received(self, link: AcceptedLink, call: Call) -> None:
        """Take a call of another daemon; an edge has nothing to answer it with."""
        if self.callee is not None:
            self.callee.take(link, call)
            return
        refused = Refused(RefusalReason.UNKNOWN_ROUTE, retry_after(0.0, self._rng))
        spare = call.context.spare_attempts
        link.reply(Reply(call.epoch, call.call, refused, spare, self.load_report()))

    def call_cancelled(self, link: AcceptedLink, call: int) -> None:
        """Drop a call of another daemon."""
        if self.callee is not None:
            self.callee.give_up(link, call)

    def accepted_revision_seen(self, link: AcceptedLink, revision: int) -> None:
        """Note the revision a calling daemon holds; fetch it if it is higher."""
        if link.peer is not None:
            self._driver.on_peer_revision(link.peer.node, revision)

    def accepted_delta_received(self, link: AcceptedLink, delta: Delta) -> None:
        """Take configuration from a calling daemon."""
        if link.peer is not None:
            self._driver.on_peer_delta(link.peer.node, delta)

    def peer_up(self, endpoint: str, incarnation: str) -> None:
        """Note that an endpoint can be called."""
        now = clock.now()
        self._table.on_link_up(endpoint, incarnation, now)
        self._platform.on_linked(endpoint, incarnation, now)

    def peer_down(self, endpoint: str) -> None:
        """Note that an endpoint can't be called."""
        self._table.on_link_down(endpoint, clock.now())

    def peer_draining(self, endpoint: str) -> None:
        """Note that an endpoint takes no new calls."""
        self._table.mark_draining(endpoint, clock.now())

    def peer_load(self, endpoint: str, load: LoadReport) -> None:
        """Note the load an endpoint told with a heartbeat."""
        self._table.on_report(endpoint, load, clock.now())

    def peer_revision(self, peer: str, revision: int) -> None:
        """Note the revision an endpoint's daemon holds."""
        self._driver.on_peer_revision(peer, revision)

    def peer_delta(self, peer: str, delta: Delta) -> None:
        """Take configuration from an endpoint's daemon."""
        self._driver.on_peer_delta(peer, delta)
