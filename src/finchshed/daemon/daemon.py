"""The daemon: its parts, and what each tells the others."""

import asyncio
import random
import secrets
import time
from collections.abc import Coroutine, Iterable
from pathlib import Path
from typing import Any

from loguru import logger

from finchshed.admission.paths import PathThresholds
from finchshed.common.outcomes import RefusalReason
from finchshed.common.units import MILLISECONDS
from finchshed.configuration.resources import Endpoint
from finchshed.daemon import metrics
from finchshed.daemon.backend.http_client import HttpBackend
from finchshed.daemon.backend.registration import OwnBackend
from finchshed.daemon.calling.caller import Caller
from finchshed.daemon.calling.endpoints import KnownEndpoints
from finchshed.daemon.calling.peers import PeerLinks
from finchshed.daemon.calling.platform_hints import PlatformHints
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.ingress.host_handler import HostAdmitted, HostFront
from finchshed.daemon.ingress.lease_renewal import LeaseRenewal
from finchshed.daemon.ingress.quota_gate import QuotaGate
from finchshed.daemon.ingress.service_handler import Admitted, Front
from finchshed.daemon.leaving import Leaving, new_incarnation
from finchshed.daemon.link_side import LinkSide
from finchshed.daemon.listeners import Listeners
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.accounts import ServedRequests
from finchshed.daemon.serving.callee import Callee
from finchshed.daemon.serving.control_ledger import ControlLedger
from finchshed.daemon.serving.guarded import GuardedRuns
from finchshed.daemon.settings import DaemonSettings
from finchshed.daemon.signatures import Signatures
from finchshed.directory.registrar import Registrar
from finchshed.distribution.addresses import parse_control_address
from finchshed.distribution.driver import FollowerDriver
from finchshed.distribution.effects import ServingBasis
from finchshed.distribution.identity import ClientIdentity
from finchshed.distribution.messages import DirectoryUpdate, Hints
from finchshed.distribution.snapshot import Configuration
from finchshed.http.server import HttpServer
from finchshed.http.spool import SpoolBudget
from finchshed.link.listener import LinkListener
from finchshed.quarantine.messages import CrashNews
from finchshed.routing.table import RoutingTable
from finchshed.runtime import clock, garbage
from finchshed.runtime.waiting import wait_while
from finchshed.tls.credentials import credentials_of
from finchshed.tls.handshakes import Connector
from finchshed.tls.names import CertificateRole

SLOW_TICK_SECONDS = 0.5

IDLE_SLACK_SECONDS = 2.0
"""A connection is kept a little longer than callers were told, so that none of theirs crosses."""


class Daemon:
    """One daemon process: data path beside a back end, or an edge.

    Parameters
    ----------
    names
        Names of the headers of requests by host.

    Attributes
    ----------
    own_backend
        Takes the back end's heartbeats; None where its endpoint is declared, and on an edge.
    """

    def __init__(self, settings: DaemonSettings, names: HeaderNames | None = None) -> None:
        self._settings = settings
        self._names = names or HeaderNames()
        self._rng = random.Random(secrets.randbits(64))
        self._incarnation = new_incarnation()
        self._started_ms = int(time.time() * MILLISECONDS)
        self._is_serving = False
        self._leaving = Leaving(settings.endpoint)
        self._tasks: set[asyncio.Task[None]] = set()
        self._served = ServedRequests()
        self._table = RoutingTable(
            settings.zone,
            settings.region,
            self._rng,
            owner=settings.node,
            subset_size=settings.subset_size,
        )
        self._platform = PlatformHints(self._table)
        self._credentials = credentials_of(settings)
        self._driver = self._make_driver()
        self._driver.client.on_hints = self._on_hints
        self._signatures = Signatures(self._names)
        self._quarantine = Quarantine(self._driver.client, self._tell_links)
        self._side = LinkSide(
            settings,
            self._driver,
            self._table,
            self._platform,
            self._quarantine,
            incarnation=self._incarnation,
            takes_nothing=self._leaving.takes_nothing,
            rng=self._rng,
        )
        self._links = PeerLinks(settings, self._side, self._rng, Connector(self._credentials))
        self._endpoints = KnownEndpoints(self._table, self._links)
        self._paths = PathThresholds(self._table.floor)
        self._caller = Caller(
            self._table,
            self._links,
            self._served,
            self._paths,
            self._rng,
            signatures=self._signatures,
            quarantine=self._quarantine,
        )
        self._front = Front(self._caller, self._served, self._rng, self._why_not)
        self._lease_renewal = LeaseRenewal(self._driver.client)
        self._quotas = QuotaGate(
            self._driver.client, self._incarnation, self._started_ms, self._rng
        )
        self._host_front = HostFront(
            self._caller,
            self._served,
            self._names,
            self._rng,
            lease=self._lease_renewal.lease,
            quotas=self._quotas,
            own_service=lambda: self._side.service,
            why_not=self._why_not,
        )
        spool = SpoolBudget(settings.max_spooled_bytes)
        self._http: HttpServer[Admitted] = HttpServer(self._front, spool)
        self._host_http: HttpServer[HostAdmitted] = HttpServer(self._host_front, spool)
        self._listener = LinkListener(
            self._side,
            settings.peer_networks,
            silence_seconds=settings.accepted_silence_seconds,
            max_unsent_bytes=settings.max_unsent_bytes,
        )
        self._backend: HttpBackend | None = None
        self._callee = self._make_callee()
        self._side.callee = self._callee
        self._leaving.attach(self._callee, self._side, self._listener)
        self.own_backend = self._make_own_backend()
        self._driver.client.on_directory = self._on_directory
        self._listeners = Listeners()

    @property
    def is_serving(self) -> bool:
        """Whether new work is taken."""
        return self._is_serving and not self._leaving.is_stopping

    @property
    def state_detail(self) -> str:
        """What a daemon that takes no new work waits for."""
        if self._leaving.is_stopping:
            return "draining"
        return "" if self._is_serving else "waiting for a confirmed configuration"

    async def start(self) -> None:
        """Follow the configuration and listen."""
        settings = self._settings
        self._spawn(self._driver.run())
        self._spawn(self._tick_seldom())
        if self._leaving.watch is not None and self.own_backend is None:
            self._spawn(self._leaving.watch.run())
        make_link = self._listener.make_protocol
        await self._listeners.open(settings.link_address, make_link, self._credentials)
        if settings.host_address:
            await self._listeners.open(settings.host_address, self._host_http.make_protocol)

    async def stop(self) -> None:
        """Take no new work, finish what is in progress, and close.

        Callers are told first, and what they sent before they heard of it still comes in. New
        connections go to a successor, if one listens already. Sessions may use all of the time a
        drain has; those that are left then are sent away, which moves them to other endpoints.
        """
        settings = self._settings
        self._leaving.is_stopping = True
        metrics.DRAINING.set(1)
        logger.info("draining")
        self._listeners.prefer_successor()
        self._http.closing = True
        self._host_http.closing = True
        serving_seconds = min(settings.drain_serving_seconds, settings.drain_notice_seconds)
        await asyncio.sleep(serving_seconds)
        self._leaving.tell()
        await asyncio.sleep(settings.drain_notice_seconds - serving_seconds)
        self._listeners.close()
        await wait_while(self._is_busy, settings.drain_seconds)
        if self._callee is not None and self._callee.sessions:
            logger.info("sending {} sessions away", self._callee.sessions)
            self._callee.end_sessions()
            await wait_while(self._is_busy, settings.drain_notice_seconds)
        await self._close()

    # What the configuration tells.

    def add_control_addresses(self, addresses: Iterable[str]) -> None:
        """Take in control nodes that the settings name by now."""
        self._driver.client.add_addresses(addresses)

    def take_effect(self, previous: Configuration, current: Configuration) -> None:
        """Act on ``current`` from now on."""
        metrics.REVISION.set(current.revision)
        catalogue = Catalogue(current.resources.values(), current.revision)
        logger.info("configuration {} in force, before {}", current.revision, previous.revision)
        self._endpoints.declare(catalogue.endpoints)
        self._caller.configure(catalogue)
        self._front.catalogue = catalogue
        self._host_front.configure(catalogue)
        self._lease_renewal.configure(catalogue)
        self._quotas.configure(catalogue)
        self._host_http.limits.max_head_bytes = catalogue.limits.max_head_bytes
        self._host_http.limits.read_seconds = catalogue.limits.head_seconds
        self._host_http.limits.idle_seconds = catalogue.limits.idle_seconds + IDLE_SLACK_SECONDS
        if self._callee is not None:
            self._callee.configure(catalogue)

    def fetch_from_peer(self, peer: str, revision: int) -> None:
        """Ask a peer for its configuration."""
        if self._links.fetch(peer, revision):
            return
        for link in self._listener.links():
            if link.peer is not None and link.peer.node == peer:
                link.fetch(revision)
                return

    def greet_peers(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Open links to peers, to learn their revisions."""
        self._links.greet(endpoints)

    def start_serving(self, basis: ServingBasis) -> None:
        """Take calls from now on."""
        logger.info("taking calls, on the ground of {}", basis)
        garbage.settle()
        metrics.SERVING.set(1)
        self._is_serving = True
        if self._settings.http_address:
            # Not before: a successor shares its address with a process that does answer.
            self._spawn(self._listeners.open(self._settings.http_address, self._http.make_protocol))
        if self._callee is not None:
            self._callee.start_serving()
        if self.own_backend is not None:
            service = self._front.catalogue.service(self._settings.service)
            if service is not None:
                self._spawn(self.own_backend.identify(service.name, service.health_path))

    def _on_directory(self, update: DirectoryUpdate) -> None:
        self._endpoints.on_update(update)
        self._caller.share_with(len(self._endpoints))
        held = self._endpoints.registration_of(self._settings.link_address)
        if self.own_backend is not None and held is not None:
            self.own_backend.on_own_registration(held)

    def _on_hints(self, hints: Hints) -> None:
        self._platform.on_hints(hints, clock.now())
        self._leaving.on_hints(hints)

    # Construction and upkeep.

    def _make_driver(self) -> FollowerDriver:
        settings = self._settings
        identity = ClientIdentity(
            node=settings.node,
            incarnation=self._incarnation,
            service=settings.service,
            zone=settings.zone,
            endpoint=settings.endpoint,
        )
        addresses = [parse_control_address(text) for text in settings.control_addresses]
        folder = Path(settings.data_folder) if settings.data_folder else None
        connect = Connector(self._credentials, CertificateRole.CONTROL)
        return FollowerDriver(identity, addresses, self, self._rng, folder, connect=connect)

    def _make_callee(self) -> Callee | None:
        settings = self._settings
        if not settings.backend_address:
            return None
        self._backend = HttpBackend(
            settings.backend_address,
            settings.max_connections,
            settings.connect_timeout_seconds,
            self._names,
        )
        watch = self._leaving.watch_backend(self._backend)
        guarded = GuardedRuns(settings, ControlLedger(self._driver.client.ledger), self._rng)
        return Callee(
            settings,
            backend=self._backend,
            guarded=guarded,
            served=self._served,
            paths=self._paths,
            rng=self._rng,
            on_backend_answer=watch.on_answer,
            revision=self._side.revision,
            names=self._names,
            signatures=self._signatures,
            quarantine=self._quarantine,
        )

    def _make_own_backend(self) -> OwnBackend | None:
        settings = self._settings
        if self._callee is None or self._backend is None or not settings.registers_backend:
            return None
        registrar = Registrar(
            settings.link_address,
            settings.zone,
            settings.region,
            epoch=self._started_ms,
            silence_seconds=settings.backend_silence_seconds,
        )
        return OwnBackend(
            registrar,
            self._callee,
            side=self._side,
            leaving=self._leaving,
            listener=self._listener,
            client=self._driver.client,
            backend=self._backend,
            names=self._names,
        )

    def _tell_links(self, news: CrashNews) -> None:
        self._links.tell_crash_news(news)
        for link in self._listener.links():
            link.tell_crash_news(news)

    def _why_not(self) -> RefusalReason | None:
        return None if self._is_serving else RefusalReason.NO_CONFIGURATION

    def _is_busy(self) -> bool:
        if self._http.is_busy or self._host_http.is_busy or self._caller.in_progress:
            return True
        return self._callee is not None and (
            self._callee.in_progress > 0 or self._callee.sessions > 0
        )

    async def _tick_seldom(self) -> None:
        while True:
            await asyncio.sleep(SLOW_TICK_SECONDS)
            self._http.sweep()
            self._host_http.sweep()
            if self.own_backend is not None:
                self.own_backend.tick()
            self._caller.expire_sessions()
            self._quarantine.tick()
            self._links.close_idle()
            self._links.reopen_lost()
            if not self._driver.client.is_connected:
                # Other daemons are the only source of configuration then.
                self._links.ask_revisions()
            self._listener.close_silent(clock.now())
            metrics.IN_PROGRESS.labels("caller").set(self._caller.in_progress)
            if self._callee is not None:
                self._callee.expire_sessions()
                metrics.IN_PROGRESS.labels("callee").set(self._callee.in_progress)
                load = self._callee.load_report()
                metrics.LIMIT.set(load.limit)
                metrics.THRESHOLD.set(load.threshold)

    async def _close(self) -> None:
        self._listeners.close()
        self._http.close()
        self._host_http.close()
        self._lease_renewal.close()
        self._quotas.close()
        self._links.close()
        self._listener.close()
        if self._backend is not None:
            await self._backend.close()
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        """Surface the error of a task that was to run as long as the daemon."""
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            context = {"message": "a daemon's task ended", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)
