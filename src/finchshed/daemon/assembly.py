"""Builds the components of a daemon in dependency order.

1. Shared state: identity, drain state, served requests, routing table.
2. The connection to control, and the quarantine that uses it.
3. The serving side: back-end client and callee, which the links deliver calls to.
4. The links in both directions, and the endpoints that can be called over them.
5. Drain announcements on those links, and monitoring of the back end.
6. Outgoing calls and the HTTP listeners.

Components are complete once constructed. Events against that order go through subscriptions:
:class:`BackendEvents` (state of the back end, seen by calls), :class:`CrashNewsBroadcaster` (crash
records to links), and the control client, whose messages components subscribe to.
"""

import random
import secrets
import time
from collections.abc import Callable
from pathlib import Path

from finchshed.admission.path_callers import PathCallers
from finchshed.admission.path_completion import PathCompletion
from finchshed.admission.path_thresholds import PathThresholds
from finchshed.common.outcomes import RefusalReason
from finchshed.common.units import MILLISECONDS
from finchshed.daemon.backend.health import BackendHealthMonitor
from finchshed.daemon.backend.http_client import HttpBackend
from finchshed.daemon.backend.load_monitor import LoadMonitor
from finchshed.daemon.backend.rate_limit_monitor import RateLimitMonitor
from finchshed.daemon.backend.registration import RegisteredBackend
from finchshed.daemon.calling.caller import Caller
from finchshed.daemon.calling.daemon_links import DaemonLinks
from finchshed.daemon.calling.endpoints import KnownEndpoints
from finchshed.daemon.calling.platform_hints import LocalMachineHints, PlatformHints
from finchshed.daemon.components import (
    BackendStateComponents,
    DaemonComponents,
    IngressComponents,
    LinkComponents,
    ServingComponents,
    SharedState,
)
from finchshed.daemon.draining import DrainAnnouncer, DrainState
from finchshed.daemon.endpoint_identity import EndpointIdentity
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.ingress.deferred_clients import DeferredClients
from finchshed.daemon.ingress.host_handler import HostRequestHandler
from finchshed.daemon.ingress.key_lease_renewal import KeyLeaseRenewal
from finchshed.daemon.ingress.quota_gate import QuotaGate
from finchshed.daemon.ingress.service_handler import ServiceRequestHandler
from finchshed.daemon.link_handler import LinkHandler
from finchshed.daemon.memory import MemoryPlan
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.at_most_once import AtMostOnceRunner
from finchshed.daemon.serving.callee import Callee
from finchshed.daemon.serving.control_ledger import ControlLedger
from finchshed.daemon.settings import DaemonSettings
from finchshed.daemon.signatures import SignatureFactory
from finchshed.directory.registrar import Registrar
from finchshed.distribution.addresses import parse_control_address
from finchshed.distribution.client import ControlClient
from finchshed.distribution.follower_runner import FollowerListener, FollowerRunner
from finchshed.distribution.identity import ClientIdentity
from finchshed.http.limits import ConnectionLimits
from finchshed.http.server import HttpServer
from finchshed.http.spool import SpoolBudget
from finchshed.link.listener import LinkListener
from finchshed.quarantine.messages import CrashNews
from finchshed.routing.table import RoutingTable
from finchshed.runtime import clock
from finchshed.runtime.descriptors import descriptor_limit, max_caller_connections
from finchshed.tls.credentials import load_credentials
from finchshed.tls.handshakes import Connector
from finchshed.tls.names import CertificateRole

SEED_BITS = 64
"""Bits in the seed of a daemon's random generator."""


def build_components(
    settings: DaemonSettings,
    names: HeaderNames,
    follower_listener: FollowerListener,
    not_ready_reason: Callable[[], RefusalReason | None],
) -> DaemonComponents:
    """Build the components of a daemon, without starting any.

    Parameters
    ----------
    names
        Header names of requests routed by host.
    follower_listener
        Receives configuration changes.
    not_ready_reason
        Returns why requests must be refused at present, or None.
    """
    state = _shared_state(settings, names)
    follower_runner = _follower_runner(state, follower_listener)
    quarantine = Quarantine(follower_runner.client, state.crash_news.send)
    serving = _serving_components(state, follower_runner, quarantine)
    link_components = _link_components(state, follower_runner, quarantine, serving)
    backend_state = _backend_state_components(state, follower_runner, serving, link_components)
    client = follower_runner.client
    ingress = _ingress_components(state, client, quarantine, link_components, not_ready_reason)
    return DaemonComponents(
        state, follower_runner, quarantine, serving, link_components, backend_state, ingress
    )


def _shared_state(settings: DaemonSettings, names: HeaderNames) -> SharedState:
    rng = random.Random(secrets.randbits(SEED_BITS))
    awaits_registration = bool(settings.backend_address) and settings.registers_backend
    table = RoutingTable(
        settings.zone,
        settings.region,
        rng,
        owner=settings.node,
        subset_size=settings.subset_size,
    )
    paths = PathThresholds(table.path_threshold)
    return SharedState(
        settings=settings,
        names=names,
        rng=rng,
        started_ms=int(time.time() * MILLISECONDS),
        identity=EndpointIdentity(settings.endpoint, settings.service),
        memory=MemoryPlan(settings.max_memory_bytes, settings.max_spooled_bytes),
        drain=DrainState.awaiting_registration() if awaits_registration else DrainState(),
        credentials=load_credentials(settings),
        table=table,
        paths=paths,
        path_callers=PathCallers(paths, table.caller_thresholds),
        completion=PathCompletion(paths, table.path_completion),
        signatures=SignatureFactory(names),
    )


def _follower_runner(state: SharedState, listener: FollowerListener) -> FollowerRunner:
    settings = state.settings
    identity = ClientIdentity(
        node=settings.node,
        incarnation=state.identity.incarnation,
        service=settings.service,
        zone=settings.zone,
        endpoint=settings.endpoint,
    )
    addresses = [parse_control_address(text) for text in settings.control_addresses]
    folder = Path(settings.data_folder) if settings.data_folder else None
    connect = Connector(state.credentials, CertificateRole.CONTROL)
    return FollowerRunner(identity, addresses, listener, state.rng, folder, connect=connect)


def _serving_components(
    state: SharedState, follower_runner: FollowerRunner, quarantine: Quarantine
) -> ServingComponents | None:
    settings = state.settings
    if not settings.backend_address:
        return None
    backend = HttpBackend(
        settings.backend_address,
        settings.max_connections,
        settings.connect_timeout_seconds,
        state.names,
        memory=state.memory.bodies,
        max_answer_bytes=state.memory.max_answer_bytes,
    )
    rate_limit = RateLimitMonitor(state.identity)
    state.events.subscribe_answers(rate_limit.on_answer)
    callee = Callee(
        settings,
        backend=backend,
        at_most_once=AtMostOnceRunner(
            settings, ControlLedger(follower_runner.client.ledger), state.rng
        ),
        served=state.served,
        paths=state.paths,
        path_callers=state.path_callers,
        completion=state.completion,
        rng=state.rng,
        drain=state.drain,
        events=state.events,
        revision=lambda: follower_runner.follower.revision,
        names=state.names,
        signatures=state.signatures,
        quarantine=quarantine,
        rate_limit=rate_limit,
        memory=state.memory.bodies,
    )
    return ServingComponents(backend, callee)


def _link_components(
    state: SharedState,
    follower_runner: FollowerRunner,
    quarantine: Quarantine,
    serving: ServingComponents | None,
) -> LinkComponents:
    settings = state.settings
    platform = PlatformHints(state.table)
    handler = LinkHandler(
        settings,
        follower_runner,
        state.table,
        platform,
        quarantine,
        callee=None if serving is None else serving.callee,
        identity=state.identity,
        drain=state.drain,
        rng=state.rng,
    )
    memory = state.memory.bodies
    links = DaemonLinks(settings, handler, state.rng, Connector(state.credentials), memory)
    listener = LinkListener(
        handler,
        settings.peer_networks,
        silence_seconds=settings.accepted_silence_seconds,
        max_unsent_bytes=settings.max_unsent_bytes,
        memory=memory,
    )

    def send_to_callers(news: CrashNews) -> None:
        for link in listener.links():
            link.send_crash_news(news)

    state.crash_news.add(links.send_crash_news)
    state.crash_news.add(send_to_callers)
    return LinkComponents(links, listener, platform, KnownEndpoints(state.table, links))


def _backend_state_components(
    state: SharedState,
    follower_runner: FollowerRunner,
    serving: ServingComponents | None,
    link_components: LinkComponents,
) -> BackendStateComponents:
    local_hints = LocalMachineHints(state.settings.endpoint, clock.now())
    announcer = DrainAnnouncer(state.drain, state.identity, local_hints, link_components.listener)
    if serving is None:
        return BackendStateComponents(announcer, None, None, None)
    load = LoadMonitor(
        serving.callee.backend_load,
        identity=state.identity,
        backend=serving.backend,
        run=lambda: serving.callee.run,
        links=link_components.listener.links,
        polls=state.settings.polls_slow_backend,
    )
    state.events.subscribe_answers(load.on_answer)
    if state.settings.registers_backend:
        registered = _registered_backend(
            state, follower_runner, serving, link_components, announcer=announcer, load=load
        )
        return BackendStateComponents(announcer, None, registered, load)
    monitor = BackendHealthMonitor(
        serving.backend,
        announcer.on_backend_draining,
        announcer.on_backend_returned,
        load.on_health,
    )
    state.events.subscribe_answers(lambda event: monitor.on_answer(event.answer))
    return BackendStateComponents(announcer, monitor, None, load)


def _registered_backend(
    state: SharedState,
    follower_runner: FollowerRunner,
    serving: ServingComponents,
    link_components: LinkComponents,
    *,
    announcer: DrainAnnouncer,
    load: LoadMonitor,
) -> RegisteredBackend:
    settings = state.settings
    registrar = Registrar(
        settings.link_address,
        settings.zone,
        settings.region,
        epoch=state.started_ms,
        silence_seconds=settings.backend_silence_seconds,
    )
    return RegisteredBackend(
        registrar,
        serving.callee,
        identity=state.identity,
        drain=state.drain,
        announcer=announcer,
        listener=link_components.listener,
        client=follower_runner.client,
        backend=serving.backend,
        events=state.events,
        names=state.names,
        load=load,
    )


def _ingress_components(
    state: SharedState,
    client: ControlClient,
    quarantine: Quarantine,
    link_components: LinkComponents,
    not_ready_reason: Callable[[], RefusalReason | None],
) -> IngressComponents:
    caller = Caller(
        state.table,
        link_components.links,
        state.served,
        state.paths,
        state.rng,
        signatures=state.signatures,
        quarantine=quarantine,
    )
    service_handler = ServiceRequestHandler(
        caller, state.served, state.rng, not_ready_reason, stop=state.stop
    )
    lease_renewal = KeyLeaseRenewal(client)
    quotas = QuotaGate(client, state.identity.incarnation, state.started_ms, state.rng)
    host_handler = HostRequestHandler(
        caller,
        state.served,
        state.names,
        state.rng,
        lease=lease_renewal.lease,
        quotas=quotas,
        deferred=DeferredClients(state.table.path_completion, state.table.mean_latency, state.rng),
        own_service=lambda: state.identity.service,
        not_ready_reason=not_ready_reason,
        stop=state.stop,
        own_share=state.table.own_share,
    )
    spool = SpoolBudget(state.memory.spooled_bytes)
    memory = state.memory.bodies
    return IngressComponents(
        caller=caller,
        service_handler=service_handler,
        host_handler=host_handler,
        lease_renewal=lease_renewal,
        quotas=quotas,
        service_server=HttpServer(service_handler, spool, _limits(state.settings), memory),
        host_server=HttpServer(host_handler, spool, _limits(state.settings), memory),
    )


def _limits(settings: DaemonSettings) -> ConnectionLimits:
    descriptors = descriptor_limit(settings.max_descriptors)
    return ConnectionLimits(max_connections=max_caller_connections(descriptors))
