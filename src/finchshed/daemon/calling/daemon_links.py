"""Outgoing links to other daemons: opened on demand, reopened with jittered backoff.

Attempts for an endpoint whose link is being opened wait for it, and fail as not sent if it can't
be opened.
"""

import asyncio
import random
from dataclasses import dataclass, field

from finchshed.admission.load_report import LoadReport
from finchshed.common.backoff import Backoff
from finchshed.common.memory_budget import MemoryBudget
from finchshed.common.outcomes import RefusalReason
from finchshed.configuration.resources import Endpoint
from finchshed.daemon.calling.attempt import Attempt
from finchshed.daemon.calling.daemon_links_owner import DaemonLinksOwner
from finchshed.daemon.settings import DaemonSettings
from finchshed.distribution.messages import Delta
from finchshed.link.messages import (
    Hello,
)
from finchshed.link.peer import PeerLink
from finchshed.link.states import CallContent, Connect, LinkState, SendResult
from finchshed.quarantine.messages import CrashNews
from finchshed.runtime import clock

BACKOFF_FIRST_SECONDS = 0.05
"""Maximum delay before reconnecting after the first failure; the minimum is half of it."""

BACKOFF_MAX_SECONDS = 2.0
"""Upper bound of the reconnect delay, and so of the time until a recovered endpoint is used."""

RECONNECT_BACKOFF = Backoff(BACKOFF_FIRST_SECONDS, BACKOFF_MAX_SECONDS)


@dataclass(slots=True)
class _Peer:
    """An endpoint with its link, the attempts waiting for it, and its reconnect backoff."""

    endpoint: Endpoint
    link: PeerLink | None = None
    waiting: list[Attempt] = field(default_factory=list)
    failures: int = 0
    retry_not_before: float = 0.0


class DaemonLinks:
    """Links to the daemons of endpoints, keyed by endpoint name.

    Parameters
    ----------
    connect
        Opens connections; None uses the event loop's own method.
    memory
        Budget of what the links hold; None for no bound.

    Attributes
    ----------
    loop
        Event loop of links and calls, cached because ``asyncio.get_running_loop`` makes a system
        call (``getpid``) in CPython 3.11.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        owner: DaemonLinksOwner,
        rng: random.Random,
        connect: Connect | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self._connect = connect
        self._memory = memory
        self._settings = settings
        self._owner = owner
        self._rng = rng
        self._peers: dict[str, _Peer] = {}
        self._by_link: dict[PeerLink, _Peer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing = False

    def set_endpoints(self, endpoints: dict[str, Endpoint]) -> None:
        """Replace the set of endpoints; links to removed or moved endpoints are closed."""
        for name, peer in list(self._peers.items()):
            declared = endpoints.get(name)
            if declared is not None and declared.address == peer.endpoint.address:
                peer.endpoint = declared
                continue
            del self._peers[name]
            self._close_if_unused(peer)

    def send(self, endpoint: Endpoint, attempt: Attempt) -> None:
        """Send an attempt, opening the link first if necessary."""
        peer = self._peer(endpoint)
        link = peer.link
        if link is None:
            if clock.now() < peer.retry_not_before or self._closing:
                attempt.on_unsent(RefusalReason.CONNECT_FAILED, "the link is down")
                return
            self._open(peer)
        elif link.state is LinkState.OPEN:
            self._send_on(link, attempt)
            return
        peer.waiting.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt; neither of its callbacks is called any more."""
        attempt.is_cancelled = True
        if attempt.link is not None:
            attempt.link.cancel_call(attempt.call_number)

    def open_links(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Open links to endpoints that have none; peers report their revisions on them."""
        for endpoint in endpoints:
            peer = self._peer(endpoint)
            if peer.link is None and not self._closing:
                self._open(peer)

    def fetch_configuration(self, endpoint_name: str, revision: int) -> bool:
        """Request a peer's configuration; return False if no link to it is open."""
        peer = self._peers.get(endpoint_name)
        if peer is None or peer.link is None or peer.link.state is not LinkState.OPEN:
            return False
        peer.link.fetch(revision)
        return True

    def request_revisions(self) -> None:
        """Request the revisions of all peers at once, ahead of their next heartbeats."""
        for link in list(self._by_link):
            link.request_revision()

    def close_idle(self) -> None:
        """Close links without a call for longer than ``link_idle_seconds``."""
        now = self.loop.time()
        for link in list(self._by_link):
            idle = now - link.last_call_at > self._settings.link_idle_seconds
            if idle and link.calls_in_progress == 0 and link.state is LinkState.OPEN:
                link.close("idle")

    def reopen_failed(self) -> None:
        """Reopen broken links whose backoff has passed, to detect endpoints that recovered."""
        now = clock.now()
        for peer in self._peers.values():
            if peer.link is None and peer.failures and now >= peer.retry_not_before:
                self._open(peer)

    def close(self) -> None:
        """Close every link."""
        self._closing = True
        self._peers.clear()
        for link in list(self._by_link):
            link.close("stopped")

    def hello(self, epoch: str) -> Hello:
        """Return the Hello that opens a link (``LinkOwner`` callback)."""
        return self._owner.hello(epoch)

    def link_opened(self, link: PeerLink, hello: Hello) -> None:
        """Send the attempts that waited for the link (``LinkOwner`` callback)."""
        peer = self._by_link.get(link)
        if peer is None:
            return
        if hello.service != peer.endpoint.service or hello.node != peer.endpoint.name:
            link.close("wrong peer")
            return
        peer.failures = 0
        self._owner.peer_up(peer.endpoint.name, hello)
        waiting = peer.waiting
        peer.waiting = []
        for attempt in waiting:
            if not attempt.is_cancelled:
                self._send_on(link, attempt)

    def link_closed(self, link: PeerLink, cause: str) -> None:
        """Fail the attempts that waited for the link (``LinkOwner`` callback)."""
        peer = self._by_link.pop(link, None)
        if peer is None:
            return
        peer.link = None
        if cause != "idle":
            self._back_off(peer)
            self._owner.peer_down(peer.endpoint.name)
        waiting = peer.waiting
        peer.waiting = []
        for attempt in waiting:
            if not attempt.is_cancelled:
                attempt.on_unsent(RefusalReason.CONNECT_FAILED, cause)

    def peer_draining(self, link: PeerLink) -> None:
        """Forward a peer's drain notice (``LinkOwner`` callback)."""
        peer = self._by_link.get(link)
        if peer is not None:
            self._owner.peer_draining(peer.endpoint.name)

    def load_reported(self, link: PeerLink, load: LoadReport) -> None:
        """Forward a peer's load report (``LinkOwner`` callback)."""
        peer = self._by_link.get(link)
        if peer is not None:
            self._owner.peer_load(peer.endpoint.name, load)

    def revision_seen(self, link: PeerLink, revision: int) -> None:
        """Forward a peer's revision (``LinkOwner`` callback)."""
        peer = self._by_link.get(link)
        if peer is not None:
            self._owner.peer_revision(peer.endpoint.name, revision)

    def delta_received(self, link: PeerLink, delta: Delta) -> None:
        """Forward configuration received from a peer (``LinkOwner`` callback)."""
        peer = self._by_link.get(link)
        if peer is not None:
            self._owner.peer_delta(peer.endpoint.name, delta)

    def delta_for(self, revision: int) -> Delta | None:
        """Return the configuration for a peer at ``revision`` (``LinkOwner`` callback)."""
        return self._owner.delta_for(revision)

    def crash_news_received(self, news: CrashNews) -> None:
        """Forward crash records received from a peer (``LinkOwner`` callback)."""
        self._owner.crash_news_received(news)

    def crash_news(self) -> CrashNews | None:
        """Return the crash records to send on a new link (``LinkOwner`` callback)."""
        return self._owner.crash_news()

    def send_crash_news(self, news: CrashNews) -> None:
        """Send crash records to every peer with an open link."""
        for link in list(self._by_link):
            link.send_crash_news(news)

    def _peer(self, endpoint: Endpoint) -> _Peer:
        peer = self._peers.get(endpoint.name)
        if peer is not None and peer.endpoint.address != endpoint.address:
            self._close_if_unused(peer)
            peer = None
        if peer is None:
            peer = _Peer(endpoint)
            self._peers[endpoint.name] = peer
        return peer

    def _close_if_unused(self, peer: _Peer) -> None:
        """Close the link of a removed peer, or leave it to its calls in progress."""
        if peer.link is not None and peer.link.calls_in_progress == 0:
            peer.link.close("idle")

    def _open(self, peer: _Peer) -> None:
        settings = self._settings
        link = PeerLink(
            peer.endpoint.address,
            self,
            max_unsent_bytes=settings.max_unsent_bytes,
            silence_seconds=settings.silence_seconds,
            heartbeat_seconds=settings.heartbeat_seconds,
            idle_heartbeat_seconds=settings.idle_heartbeat_seconds,
            connect_timeout_seconds=settings.connect_timeout_seconds,
            connect=self._connect,
            asks_compression=self._asks_compression(peer.endpoint),
            memory=self._memory,
        )
        peer.link = link
        self._by_link[link] = peer
        task = self.loop.create_task(link.connect())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _asks_compression(self, endpoint: Endpoint) -> bool:
        """Return whether to compress the link: across zones only, and never under TLS.

        The sizes of compressed records would leak information about their contents.
        """
        settings = self._settings
        is_plain = settings.tls_files.is_plain
        return settings.compresses_links and is_plain and endpoint.zone != settings.zone

    def _back_off(self, peer: _Peer) -> None:
        wait = RECONNECT_BACKOFF.half_jitter(peer.failures, self._rng)
        peer.failures += 1
        peer.retry_not_before = clock.now() + wait

    def _send_on(self, link: PeerLink, attempt: Attempt) -> None:
        remaining = attempt.deadline - clock.now()
        if remaining <= 0.0:
            attempt.on_unsent(RefusalReason.DEADLINE, "no time left to send")
            return
        request = attempt.request
        context = request.context.for_attempt(
            remaining,
            attempt.allocated_attempts,
            attempt.admitted_fraction,
            repeated=attempt.repeated,
        )
        content = CallContent(
            service=request.service,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            context=context,
            revision=self._owner.revision(),
            route=request.route if request.is_by_host else "",
            repeatable=request.repeatable,
            identity=request.identity,
            rate_limit=self._owner.rate_limit_of(self._by_link[link].endpoint.name),
        )
        result, number = link.send_call(content, attempt.on_reply)
        if result is SendResult.SENT:
            attempt.link = link
            attempt.call_number = number
        elif result is SendResult.FULL:
            attempt.on_unsent(RefusalReason.QUEUE_FULL, "the link is full")
        else:
            attempt.on_unsent(RefusalReason.CONNECT_FAILED, "the link is closed")
