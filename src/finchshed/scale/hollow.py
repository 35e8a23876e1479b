"""A hollow daemon: the real follower, client and links, with no back end and no HTTP.

It follows the configuration as a daemon does, listens for links of other daemons and keeps a few
open, so that revisions travel between daemons as they do with calls.
"""

import asyncio
import random
import secrets
import time

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.configuration.resources import Endpoint
from finchshed.daemon.peers import PeerLinks
from finchshed.daemon.settings import DaemonSettings
from finchshed.distribution.addresses import parse_control_address
from finchshed.distribution.driver import FollowerDriver
from finchshed.distribution.effects import ServingGround
from finchshed.distribution.identity import ClientIdentity
from finchshed.distribution.messages import Delta
from finchshed.distribution.snapshot import Configuration
from finchshed.link.listener import AcceptedLink, LinkListener
from finchshed.link.messages import Call, Hello, LoadReport, Reply
from finchshed.scale.messages import DaemonReport, HollowSpec, WorkerSettings
from finchshed.scale.network import Network

PEER_HEARTBEAT_SECONDS = 0.5
PEER_SILENCE_SECONDS = 4.0
INCARNATION_BYTES = 8
RETRY_AFTER_SECONDS = 1.0


class HollowDaemon:
    """One hollow daemon, which may be ended and started again.

    Parameters
    ----------
    network
        Opens connections to control.
    """

    def __init__(self, spec: HollowSpec, worker: WorkerSettings, network: Network) -> None:
        self._spec = spec
        self._worker = worker
        self._network = network
        self._rng = random.Random(f"{worker.seed}:{spec.name}")
        self._settings = _daemon_settings(spec, worker)
        self._in_force: list[tuple[int, float]] = []
        self._started_at = 0.0
        self._serving_at = 0.0
        self._peer_fetches = 0
        self._incarnation = ""
        self._peers: tuple[Endpoint, ...] = ()
        self._driver: FollowerDriver | None = None
        self._links: PeerLinks | None = None
        self._listener: LinkListener | None = None
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def is_running(self) -> bool:
        """Whether it was started and not ended."""
        return self._task is not None

    async def start(self) -> None:
        """Start with nothing in hand, as a daemon without a disk does."""
        if self._task is not None:
            return
        settings = self._settings
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._started_at = time.monotonic()
        self._serving_at = 0.0
        self._peers = ()
        self._links = PeerLinks(settings, self, self._rng, self._network.connect)
        self._listener = LinkListener(
            self,
            settings.peer_networks,
            silence_seconds=settings.accepted_silence_seconds,
            max_unsent_bytes=settings.max_unsent_bytes,
        )
        host, _, port = self._spec.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._listener.make_protocol, host, int(port))
        self._driver = self._make_driver()
        self._task = asyncio.create_task(self._driver.run())

    async def end(self) -> None:
        """End at once, with no notice to anyone."""
        task, self._task = self._task, None
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert self._server is not None
        assert self._links is not None
        assert self._listener is not None
        self._server.close()
        self._links.close()
        self._listener.close()

    def report(self) -> DaemonReport:
        """Return what happened since the last report."""
        in_force, self._in_force = self._in_force, []
        client = None if self._driver is None else self._driver.client
        received, sent = (0, 0) if client is None else client.bytes_moved()
        return DaemonReport(
            name=self._spec.name,
            in_force=tuple(in_force),
            revision=self.revision(),
            is_running=self.is_running,
            started_at=self._started_at,
            serving_at=self._serving_at,
            control=client.peer_address if client is not None and client.is_connected else "",
            connections=0 if client is None else client.connections_made,
            bytes_received=received,
            bytes_sent=sent,
            peer_fetches=self._peer_fetches,
        )

    # What the configuration tells.

    def take_effect(self, previous: Configuration, current: Configuration) -> None:
        """Note that ``current`` is in force."""
        self._in_force.append((current.revision, time.monotonic()))
        if not self._peers:
            self._peers = self._choose_peers(current)
            self.greet_peers(self._peers)

    def start_serving(self, ground: ServingGround) -> None:
        """Note that calls could be taken from now on."""
        self._serving_at = time.monotonic()

    def fetch_from_peer(self, peer: str, revision: int) -> None:
        """Ask another daemon for its configuration."""
        assert self._links is not None
        assert self._listener is not None
        self._peer_fetches += 1
        if self._links.fetch(peer, revision):
            return
        for link in self._listener.links():
            if link.peer is not None and link.peer.node == peer:
                link.fetch(revision)
                return

    def greet_peers(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Open links to other daemons."""
        assert self._links is not None
        self._links.greet(endpoints)

    # What links tell and ask, on both ends.

    def hello(self, epoch: str) -> Hello:
        """Return this daemon's first line."""
        return Hello(
            node=self._spec.name,
            incarnation=self._incarnation,
            epoch=epoch,
            service=self._spec.service,
            zone=self._worker.zone,
            revision=self.revision(),
        )

    def revision(self) -> int:
        """Return the revision in force."""
        return 0 if self._driver is None else self._driver.follower.revision

    def delta_for(self, revision: int) -> Delta | None:
        """Return what a peer that holds ``revision`` lacks."""
        return None if self._driver is None else self._driver.follower.answer_fetch(revision)

    def load_report(self) -> LoadReport:
        """Return an empty report: there is no back end."""
        return LoadReport()

    def call_received(self, link: AcceptedLink, call: Call) -> None:
        """Refuse a call: there is no back end."""
        refused = Refused(RefusalReason.NO_BACKEND, RETRY_AFTER_SECONDS)
        spare = call.context.spare_attempts
        link.reply(Reply(call.epoch, call.call, refused, spare, self.load_report()))

    def call_cancelled(self, link: AcceptedLink, call: int) -> None:
        """Do nothing: no call is ever in progress."""

    def accepted_revision_seen(self, link: AcceptedLink, revision: int) -> None:
        """Note the revision a calling daemon holds."""
        if link.peer is not None:
            self.peer_revision(link.peer.node, revision)

    def accepted_delta_received(self, link: AcceptedLink, delta: Delta) -> None:
        """Take configuration from a calling daemon."""
        if link.peer is not None:
            self.peer_delta(link.peer.node, delta)

    def peer_up(self, endpoint: str, incarnation: str) -> None:
        """Do nothing: no calls are routed."""

    def peer_down(self, endpoint: str) -> None:
        """Do nothing: no calls are routed."""

    def peer_draining(self, endpoint: str) -> None:
        """Do nothing: no calls are routed."""

    def peer_load(self, endpoint: str, load: LoadReport) -> None:
        """Do nothing: no calls are routed."""

    def peer_revision(self, peer: str, revision: int) -> None:
        """Note the revision another daemon holds."""
        if self._driver is not None:
            self._driver.on_peer_revision(peer, revision)

    def peer_delta(self, peer: str, delta: Delta) -> None:
        """Take configuration from another daemon."""
        if self._driver is not None:
            self._driver.on_peer_delta(peer, delta)

    def tick(self) -> None:
        """Close links whose far end went silent, reopen lost ones. Call about every second."""
        if self._listener is not None:
            self._listener.close_silent(asyncio.get_running_loop().time())
        if self._links is not None and self.is_running:
            self._links.greet(self._peers)
            if self._driver is not None and not self._driver.client.is_connected:
                self._links.ask_revisions()

    def _make_driver(self) -> FollowerDriver:
        identity = ClientIdentity(
            node=self._spec.name,
            incarnation=self._incarnation,
            service=self._spec.service,
            zone=self._worker.zone,
            endpoint=self._spec.name,
        )
        addresses = [parse_control_address(text) for text in self._worker.control_addresses]
        return FollowerDriver(identity, addresses, self, self._rng, connect=self._network.connect)

    def _choose_peers(self, configuration: Configuration) -> tuple[Endpoint, ...]:
        """Return a few daemons of other services, as one would call."""
        others = [
            endpoint
            for endpoint in configuration.endpoints()
            if endpoint.service != self._spec.service and endpoint.name.startswith("hollow-")
        ]
        count = min(self._worker.peer_links, len(others))
        return tuple(self._rng.sample(others, count))


def _daemon_settings(spec: HollowSpec, worker: WorkerSettings) -> DaemonSettings:
    return DaemonSettings(
        node=spec.name,
        region=worker.region,
        zone=worker.zone,
        http_address="127.0.0.1:0",
        link_address=spec.address,
        control_addresses=worker.control_addresses,
        heartbeat_seconds=PEER_HEARTBEAT_SECONDS,
        silence_seconds=PEER_SILENCE_SECONDS,
    )
