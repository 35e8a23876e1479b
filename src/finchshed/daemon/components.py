"""Component groups of a daemon, built by :mod:`finchshed.daemon.assembly`."""

import random
from dataclasses import dataclass, field

from finchshed.admission.path_callers import PathCallers
from finchshed.admission.path_completion import PathCompletion
from finchshed.admission.path_thresholds import PathThresholds
from finchshed.daemon.backend.events import BackendEvents
from finchshed.daemon.backend.health import BackendHealthMonitor
from finchshed.daemon.backend.http_client import HttpBackend
from finchshed.daemon.backend.load_monitor import LoadMonitor
from finchshed.daemon.backend.registration import RegisteredBackend
from finchshed.daemon.calling.caller import Caller
from finchshed.daemon.calling.daemon_links import DaemonLinks
from finchshed.daemon.calling.endpoints import KnownEndpoints
from finchshed.daemon.calling.platform_hints import PlatformHints
from finchshed.daemon.crash_news_broadcaster import CrashNewsBroadcaster
from finchshed.daemon.draining import DrainAnnouncer, DrainState
from finchshed.daemon.endpoint_identity import EndpointIdentity
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.ingress.host_handler import HostRequestHandler
from finchshed.daemon.ingress.host_requests import AdmittedHostRequest
from finchshed.daemon.ingress.key_lease_renewal import KeyLeaseRenewal
from finchshed.daemon.ingress.quota_gate import QuotaGate
from finchshed.daemon.ingress.service_handler import AdmittedServiceRequest, ServiceRequestHandler
from finchshed.daemon.memory import MemoryPlan
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.callee import Callee
from finchshed.daemon.serving.served_requests import ServedRequests
from finchshed.daemon.settings import DaemonSettings
from finchshed.daemon.signatures import SignatureFactory
from finchshed.daemon.stopping import PlannedStop
from finchshed.distribution.follower_runner import FollowerRunner
from finchshed.http.server import HttpServer
from finchshed.link.listener import LinkListener
from finchshed.routing.table import RoutingTable
from finchshed.tls.credentials import Credentials


@dataclass(frozen=True, slots=True)
class SharedState:
    """State and constants shared by several components.

    Attributes
    ----------
    started_ms
        Start time of the daemon, in Unix milliseconds.
    identity
        Identity of the endpoint for peers; its first incarnation also identifies this process to
        control.
    stop
        When a planned stop ends.
    served
        Requests the local back end is serving.
    paths
        Admission thresholds of the services that requests call downstream.
    path_callers
        Thresholds of callers there.
    memory
        What the process may hold of bodies.
    """

    settings: DaemonSettings
    names: HeaderNames
    rng: random.Random
    memory: MemoryPlan
    started_ms: int
    identity: EndpointIdentity
    drain: DrainState
    credentials: Credentials | None
    table: RoutingTable
    paths: PathThresholds
    path_callers: PathCallers
    completion: PathCompletion
    signatures: SignatureFactory
    stop: PlannedStop = field(default_factory=PlannedStop)
    served: ServedRequests = field(default_factory=ServedRequests)
    events: BackendEvents = field(default_factory=BackendEvents)
    crash_news: CrashNewsBroadcaster = field(default_factory=CrashNewsBroadcaster)


@dataclass(frozen=True, slots=True)
class ServingComponents:
    """Components that serve calls with the back end."""

    backend: HttpBackend
    callee: Callee


@dataclass(frozen=True, slots=True)
class LinkComponents:
    """Links to and from other daemons, and the endpoints that can be called."""

    links: DaemonLinks
    listener: LinkListener
    platform: PlatformHints
    endpoints: KnownEndpoints


@dataclass(frozen=True, slots=True)
class BackendStateComponents:
    """Components that follow the state of the back end.

    Attributes
    ----------
    monitor
        Health monitor of a declared back end; None if it registers itself, and on an edge.
    registered
        Processes the back end's heartbeats; None if its endpoint is declared, and on an edge.
    load
        Load that the back end reports; None on an edge.
    """

    announcer: DrainAnnouncer
    monitor: BackendHealthMonitor | None
    registered: RegisteredBackend | None
    load: LoadMonitor | None


@dataclass(frozen=True, slots=True)
class IngressComponents:
    """HTTP listeners, their request handlers and the outgoing calls."""

    caller: Caller
    service_handler: ServiceRequestHandler
    host_handler: HostRequestHandler
    lease_renewal: KeyLeaseRenewal
    quotas: QuotaGate
    service_server: HttpServer[AdmittedServiceRequest]
    host_server: HttpServer[AdmittedHostRequest]


@dataclass(frozen=True, slots=True)
class DaemonComponents:
    """All components of one daemon; ``serving`` is None on an edge."""

    state: SharedState
    follower_runner: FollowerRunner
    quarantine: Quarantine
    serving: ServingComponents | None
    link_components: LinkComponents
    backend_state: BackendStateComponents
    ingress: IngressComponents
