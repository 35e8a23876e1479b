"""Callbacks of outgoing and accepted links.

Dispatches calls to the serving side, endpoint state to the routing table, revisions to the
configuration follower, and crash records to the quarantine.
"""

import random

import msgspec

from finchshed.admission.load_report import LoadReport
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.daemon.calling.platform_hints import PlatformHints
from finchshed.daemon.draining import DrainState
from finchshed.daemon.endpoint_identity import EndpointIdentity
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.callee import Callee
from finchshed.daemon.settings import DaemonSettings
from finchshed.directory.registration import Registration
from finchshed.distribution.follower_runner import FollowerRunner
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


class LinkHandler:
    """Owner of the links this daemon opens and of those it accepts.

    Parameters
    ----------
    callee
        Serves incoming calls; None on an edge.
    identity
        Identity of this endpoint, sent to peers.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        follower_runner: FollowerRunner,
        table: RoutingTable,
        platform: PlatformHints,
        quarantine: Quarantine,
        *,
        callee: Callee | None,
        identity: EndpointIdentity,
        drain: DrainState,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._follower_runner = follower_runner
        self._table = table
        self._platform = platform
        self._quarantine = quarantine
        self._callee = callee
        self._identity = identity
        self._drain = drain
        self._rng = rng

    def hello(self, epoch: str) -> Hello:
        """Return the Hello that opens a link."""
        return Hello(
            node=self._identity.name or self._settings.node,
            incarnation=self._identity.incarnation,
            epoch=epoch,
            service=self._identity.service,
            zone=self._settings.zone,
            revision=self.revision(),
            draining=self._drain.is_draining,
            registration=self._identity.registration or msgspec.UNSET,
        )

    def revision(self) -> int:
        """Return the active configuration revision."""
        return self._follower_runner.follower.revision

    def delta_for(self, revision: int) -> Delta | None:
        """Return the configuration for a peer at ``revision``, or None."""
        return self._follower_runner.follower.answer_fetch(revision)

    def crash_news_received(self, news: CrashNews) -> None:
        """Merge crash records received from a peer."""
        self._quarantine.on_peer_records(news.records)

    def crash_news(self) -> CrashNews | None:
        """Return the crash records to send when a link opens, or None."""
        return self._quarantine.records_for_link()

    def load_report(self) -> LoadReport:
        """Return the load report for a heartbeat."""
        if self._callee is None:
            return LoadReport(draining=self._drain.is_draining)
        return self._callee.load_report()

    def call_received(self, link: AcceptedLink, call: Call) -> None:
        """Serve a call from another daemon, or refuse it on an edge."""
        if self._callee is not None:
            self._callee.on_call(link, call)
            return
        refused = Refused(RefusalReason.UNKNOWN_ROUTE, retry_after(0.0, self._rng))
        spare = call.context.spare_attempts
        link.reply(Reply(call.epoch, call.call, refused, spare, self.load_report()))

    def call_cancelled(self, link: AcceptedLink, call: int) -> None:
        """Cancel a call from another daemon."""
        if self._callee is not None:
            self._callee.cancel(link, call)

    def accepted_revision_seen(self, link: AcceptedLink, revision: int) -> None:
        """Pass a calling daemon's revision to the follower, which fetches a newer one."""
        if link.peer is not None:
            self._follower_runner.on_peer_revision(link.peer.node, revision)

    def accepted_delta_received(self, link: AcceptedLink, delta: Delta) -> None:
        """Pass configuration from a calling daemon to the follower."""
        if link.peer is not None:
            self._follower_runner.on_peer_delta(link.peer.node, delta)

    def peer_up(self, endpoint: str, hello: Hello) -> None:
        """Record that an endpoint is reachable."""
        now = clock.now()
        registration = hello.registration
        if isinstance(registration, Registration) and registration.instance == endpoint:
            self._table.on_registration(registration, now)
        self._table.on_link_up(endpoint, hello.incarnation, now)
        self._platform.on_linked(endpoint, hello.incarnation, now)

    def peer_down(self, endpoint: str) -> None:
        """Record that an endpoint is unreachable."""
        self._table.on_link_down(endpoint, clock.now())

    def peer_draining(self, endpoint: str) -> None:
        """Record that an endpoint accepts no new calls."""
        self._table.mark_draining(endpoint, clock.now())

    def peer_load(self, endpoint: str, load: LoadReport) -> None:
        """Record the load report of an endpoint."""
        self._table.on_report(endpoint, load, clock.now())

    def rate_limit_of(self, endpoint: str) -> float | None:
        """Return the rate limit of an endpoint's back end, in requests per second, or None."""
        return self._table.rate_limit_of(endpoint)

    def peer_revision(self, peer: str, revision: int) -> None:
        """Pass the revision of an endpoint's daemon to the follower."""
        self._follower_runner.on_peer_revision(peer, revision)

    def peer_delta(self, peer: str, delta: Delta) -> None:
        """Pass configuration from an endpoint's daemon to the follower."""
        self._follower_runner.on_peer_delta(peer, delta)
