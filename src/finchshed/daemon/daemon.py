"""Lifecycle of a daemon: start, planned stop, periodic maintenance and configuration changes.

The components, built by :mod:`finchshed.daemon.assembly`, process the requests.
"""

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any

from loguru import logger

from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.configuration.resources import Endpoint
from finchshed.daemon import decision_log, metrics
from finchshed.daemon.assembly import build_components
from finchshed.daemon.backend.registration import RegisteredBackend
from finchshed.daemon.calling.avoided_endpoint_report import AvoidedEndpointReport
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.listeners import Listeners
from finchshed.daemon.load_page import read_load_page
from finchshed.daemon.pressure_log import PressureLog
from finchshed.daemon.serving.callee import Callee
from finchshed.daemon.settings import DaemonSettings
from finchshed.daemon.stop_report import log_connections
from finchshed.distribution.effects import ServingBasis
from finchshed.distribution.messages import Decision, DirectoryUpdate, ExplainRequest, Hints
from finchshed.distribution.snapshot import Configuration
from finchshed.observability.load_page import LoadPage
from finchshed.runtime import clock, garbage
from finchshed.runtime.waiting import wait_while

MAINTENANCE_INTERVAL_SECONDS = 0.5
"""Interval of periodic maintenance, such as closing idle connections and reopening links."""

MAX_LAST_SEND_SECONDS = 0.2
"""Time to send the answers to requests that the end of a stop leaves unfinished."""

IDLE_GRACE_SECONDS = 2.0
"""How much longer an idle connection is kept than announced, so that closing it doesn't race with a
request."""


class Daemon:
    """A daemon beside a back end, or an edge.

    Parameters
    ----------
    names
        Header names of requests routed by host.
    """

    def __init__(self, settings: DaemonSettings, names: HeaderNames | None = None) -> None:
        self._settings = settings
        self._is_serving = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners = Listeners()
        components = build_components(
            settings, names or HeaderNames(), self, self._not_ready_reason
        )
        self._components = components
        self._drain = components.state.drain
        self._links = components.link_components.links
        self._ingress = components.ingress
        self._avoided_endpoints = AvoidedEndpointReport(components.state.table)
        self._pressure_log = PressureLog()
        client = components.follower_runner.client
        client.on_explain = _explain
        client.on_hints = self._on_hints
        client.on_directory = self._on_directory

    @property
    def is_serving(self) -> bool:
        """Whether new requests are accepted."""
        return self._is_serving and not self._drain.is_stopping

    @property
    def state_detail(self) -> str:
        """Why new requests are not accepted; empty if they are."""
        if self._drain.is_stopping:
            return "draining"
        return "" if self._is_serving else "waiting for a confirmed configuration"

    @property
    def registered_backend(self) -> RegisteredBackend | None:
        """Processes the back end's heartbeats; None if its endpoint is declared, or on an edge."""
        return self._components.backend_state.registered

    def load_page(self) -> LoadPage:
        """Return the load of the back end and the endpoints, for operators."""
        return read_load_page(self._components, clock.now())

    def knows_service(self, name: str) -> bool:
        """Return whether back ends of a service may register: any one before a configuration."""
        catalogue = self._ingress.service_handler.catalogue
        is_declared = catalogue.service(name) is not None
        return is_declared or name == self._settings.service or not catalogue.has_services

    @property
    def _callee(self) -> Callee | None:
        serving = self._components.serving
        return None if serving is None else serving.callee

    async def start(self) -> None:
        """Start following the configuration, maintenance, monitoring and the listeners."""
        settings = self._settings
        components = self._components
        self._spawn(components.follower_runner.run())
        self._spawn(self._maintain())
        monitor = components.backend_state.monitor
        if monitor is not None:
            self._spawn(monitor.run())
        make_link = components.link_components.listener.make_protocol
        await self._listeners.open(settings.link_address, make_link, components.state.credentials)
        if settings.host_address:
            make_connection = self._ingress.host_server.make_protocol
            await self._listeners.open(settings.host_address, make_connection)

    async def stop(self) -> None:
        """Drain, then close.

        New connections are directed to a successor, if there is one. Callers are notified of the
        drain, and requests they sent before that are still served. Requests and sessions in
        progress may take up to ``drain_seconds``; remaining sessions are then ended, which moves
        them to other endpoints. A request that may take longer than is left is refused, see
        :class:`~finchshed.daemon.stopping.PlannedStop`.
        """
        settings = self._settings
        self._drain.is_stopping = True
        metrics.DRAINING.set(1)
        logger.info("draining")
        stop = self._components.state.stop
        stop.begin(clock.now(), settings.drain_notice_seconds, settings.drain_seconds)
        self._listeners.prefer_successor()
        self._ingress.service_server.closing = True
        self._ingress.host_server.closing = True
        serving_seconds = min(settings.drain_serving_seconds, settings.drain_notice_seconds)
        await asyncio.sleep(serving_seconds)
        self._components.backend_state.announcer.announce()
        await asyncio.sleep(settings.drain_notice_seconds - serving_seconds)
        # Requests that the local back end is running may need further calls.
        await wait_while(self._has_calls, stop.seconds_left(clock.now()))
        self._listeners.close()
        await wait_while(self._is_busy, stop.seconds_left(clock.now()))
        if self._callee is not None and self._callee.sessions:
            logger.info("ending the {} remaining sessions", self._callee.sessions)
            self._callee.end_sessions()
            await wait_while(self._is_busy, settings.drain_notice_seconds)
        if self._is_busy():
            await self._end_requests()
        servers = (self._ingress.host_server, self._ingress.service_server)
        log_connections(server.counts() for server in servers)
        await self._close()

    async def _end_requests(self) -> None:
        """Answer the requests that are left at the end of a stop, and leave time to send that."""
        ingress = self._ingress
        logger.warning("the stop ends {} requests in progress", ingress.caller.in_progress)
        ingress.caller.stop()
        # The others have not been sent to a back end yet.
        refused = Refused(RefusalReason.DRAINING, 0.0)
        ingress.host_server.refuse_waiting(refused)
        ingress.service_server.refuse_waiting(refused)
        await wait_while(self._is_sending, MAX_LAST_SEND_SECONDS)

    # Configuration changes.

    def add_control_addresses(self, addresses: Iterable[str]) -> None:
        """Add addresses of control nodes."""
        self._components.follower_runner.client.add_addresses(addresses)

    def take_effect(self, previous: Configuration, current: Configuration) -> None:
        """Apply the configuration ``current``."""
        metrics.REVISION.set(current.revision)
        catalogue = Catalogue(current.resources.values(), current.revision)
        logger.info(
            "configuration revision {} is active, replacing {}", current.revision, previous.revision
        )
        self._components.link_components.endpoints.set_declared(catalogue.endpoints)
        ingress = self._ingress
        ingress.caller.configure(catalogue)
        ingress.service_handler.catalogue = catalogue
        ingress.host_handler.configure(catalogue)
        ingress.lease_renewal.configure(catalogue)
        ingress.quotas.configure(catalogue)
        limits = ingress.host_server.limits
        limits.max_head_bytes = catalogue.limits.max_head_bytes
        limits.read_seconds = catalogue.limits.head_seconds
        limits.idle_seconds = catalogue.limits.idle_seconds + IDLE_GRACE_SECONDS
        if self._callee is not None:
            self._callee.configure(catalogue)
        load = self._components.backend_state.load
        service = catalogue.service(self._settings.service)
        if load is not None and service is not None:
            load.health_path = service.health_path

    def fetch_from_peer(self, peer: str, revision: int) -> None:
        """Request a peer's configuration, on a link in either direction."""
        if self._links.fetch_configuration(peer, revision):
            return
        for link in self._components.link_components.listener.links():
            if link.peer is not None and link.peer.node == peer:
                link.fetch(revision)
                return

    def connect_to_peers(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Open links to peers, which report their revisions on them."""
        self._links.open_links(endpoints)

    def start_serving(self, basis: ServingBasis) -> None:
        """Start accepting requests and calls."""
        logger.info("accepting calls, based on {}", basis)
        garbage.freeze_existing_objects()
        metrics.SERVING.set(1)
        self._is_serving = True
        if self._settings.http_address:
            # Opened only now, because a predecessor may still be serving on the same address.
            make_connection = self._ingress.service_server.make_protocol
            self._spawn(self._listeners.open(self._settings.http_address, make_connection))
        if self._callee is not None:
            self._callee.start_serving()
        if self.registered_backend is not None:
            service = self._ingress.service_handler.catalogue.service(self._settings.service)
            if service is not None:
                self._spawn(self.registered_backend.identify(service.name, service.health_path))

    def _on_directory(self, update: DirectoryUpdate) -> None:
        endpoints = self._components.link_components.endpoints
        endpoints.on_update(update)
        self._ingress.caller.set_daemon_count(len(endpoints))
        self._ingress.host_handler.returns.daemons = max(1, len(endpoints))
        held = endpoints.registration_of(self._settings.link_address)
        if self.registered_backend is not None and held is not None:
            self.registered_backend.on_own_registration(held)

    def _on_hints(self, hints: Hints) -> None:
        self._components.link_components.platform.on_hints(hints, clock.now())
        self._components.backend_state.announcer.on_hints(hints)

    # Maintenance.

    def _not_ready_reason(self) -> RefusalReason | None:
        return None if self._is_serving else RefusalReason.NO_CONFIGURATION

    def _has_calls(self) -> bool:
        """Return whether the local back end is running requests."""
        return self._callee is not None and self._callee.in_progress > 0

    def _is_busy(self) -> bool:
        ingress = self._ingress
        if ingress.service_server.is_busy or ingress.host_server.is_busy:
            return True
        if ingress.caller.in_progress:
            return True
        return self._has_calls() or (self._callee is not None and self._callee.sessions > 0)

    def _is_sending(self) -> bool:
        ingress = self._ingress
        return ingress.host_server.is_sending or ingress.service_server.is_sending

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            self._ingress.service_server.sweep()
            self._ingress.host_server.sweep()
            if self.registered_backend is not None:
                self.registered_backend.tick()
            self._ingress.caller.expire_sessions()
            self._ingress.host_handler.returns.sweep()
            self._components.quarantine.tick()
            self._links.close_idle()
            self._links.reopen_failed()
            if not self._components.follower_runner.client.is_connected:
                # Without control, other daemons are the only source of configuration.
                self._links.request_revisions()
            self._components.link_components.listener.close_silent(clock.now())
            if self._callee is not None:
                self._callee.expire_sessions()
            self._avoided_endpoints.write(clock.now())
            self._log_pressure()
            self._set_gauges()

    def _log_pressure(self) -> None:
        dropped = self._components.state.memory.bodies.dropped
        servers = (self._ingress.host_server, self._ingress.service_server)
        closed = sum(server.closed_for_others for server in servers)
        self._pressure_log.write(dropped, closed, clock.now())

    def _set_gauges(self) -> None:
        bodies = self._components.state.memory.bodies
        metrics.BODY_BYTES.set(bodies.held)
        metrics.BODIES_GIVEN_UP.set(bodies.dropped)
        metrics.IN_PROGRESS.labels("caller").set(self._ingress.caller.in_progress)
        if self._callee is not None:
            metrics.IN_PROGRESS.labels("callee").set(self._callee.in_progress)
            load = self._callee.load_report()
            metrics.LIMIT.set(load.limit)
            metrics.THRESHOLD.set(load.threshold)
            shares = self._callee.shares
            metrics.CALLERS_ABOVE_SHARE.set(0 if shares is None else shares.limits.callers_above)

    async def _close(self) -> None:
        self._listeners.close()
        self._ingress.service_server.close()
        self._ingress.host_server.close()
        self._ingress.lease_renewal.close()
        self._ingress.quotas.close()
        self._links.close()
        self._components.link_components.listener.close()
        if self._components.backend_state.load is not None:
            self._components.backend_state.load.close()
        if self._components.serving is not None:
            await self._components.serving.backend.close()
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Report the exception of a failed background task."""
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            context = {"message": "a background task of the daemon failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)


def _explain(request: ExplainRequest) -> tuple[Decision, ...]:
    return decision_log.recent.newest(request.root, request.limit, clock.now())
