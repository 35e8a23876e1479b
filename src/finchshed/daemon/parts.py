"""The parts of a daemon, by the job they share; :mod:`finchshed.daemon.assembly` builds them."""

import random
from dataclasses import dataclass, field

from finchshed.admission.path_thresholds import PathThresholds
from finchshed.daemon.backend.events import BackendEvents
from finchshed.daemon.backend.health import BackendHealthMonitor
from finchshed.daemon.backend.http_client import HttpBackend
from finchshed.daemon.backend.registration import RegisteredBackend
from finchshed.daemon.calling.caller import Caller
from finchshed.daemon.calling.daemon_links import DaemonLinks
from finchshed.daemon.calling.endpoints import KnownEndpoints
from finchshed.daemon.calling.platform_hints import PlatformHints
from finchshed.daemon.crash_news_links import CrashNewsLinks
from finchshed.daemon.draining import DrainAnnouncer, DrainState
from finchshed.daemon.endpoint_identity import EndpointIdentity
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.ingress.host_handler import HostRequestHandler
from finchshed.daemon.ingress.host_requests import HostAdmitted
from finchshed.daemon.ingress.lease_renewal import LeaseRenewal
from finchshed.daemon.ingress.quota_gate import QuotaGate
from finchshed.daemon.ingress.service_handler import ServiceAdmitted, ServiceRequestHandler
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.accounts import ServedRequests
from finchshed.daemon.serving.callee import Callee
from finchshed.daemon.settings import DaemonSettings
from finchshed.daemon.signatures import Signatures
from finchshed.distribution.follower_runner import FollowerRunner
from finchshed.http.server import HttpServer
from finchshed.link.listener import LinkListener
from finchshed.routing.table import RoutingTable
from finchshed.tls.credentials import Credentials


@dataclass(frozen=True, slots=True)
class SharedState:
    """State and constants that several parts ask.

    Attributes
    ----------
    started_ms
        When the daemon was started, Unix milliseconds.
    identity
        Who the endpoint is to peers; its first incarnation names this start to control as well.
    served
        Requests that the local back end is serving.
    paths
        Thresholds that requests meet further down.
    """

    settings: DaemonSettings
    names: HeaderNames
    rng: random.Random
    started_ms: int
    identity: EndpointIdentity
    drain: DrainState
    credentials: Credentials | None
    table: RoutingTable
    paths: PathThresholds
    signatures: Signatures
    served: ServedRequests = field(default_factory=ServedRequests)
    events: BackendEvents = field(default_factory=BackendEvents)
    crash_news_links: CrashNewsLinks = field(default_factory=CrashNewsLinks)


@dataclass(frozen=True, slots=True)
class ServingParts:
    """What serves calls with the back end."""

    backend: HttpBackend
    callee: Callee


@dataclass(frozen=True, slots=True)
class LinkParts:
    """Links to and from other daemons, and whom they lead to."""

    links: DaemonLinks
    listener: LinkListener
    platform: PlatformHints
    endpoints: KnownEndpoints


@dataclass(frozen=True, slots=True)
class BackendStateParts:
    """What follows the state of the back end.

    Attributes
    ----------
    monitor
        Looks at the health of a declared endpoint's back end; None on an edge.
    registered
        Takes the back end's heartbeats; None where its endpoint is declared, and on an edge.
    """

    announcer: DrainAnnouncer
    monitor: BackendHealthMonitor | None
    registered: RegisteredBackend | None


@dataclass(frozen=True, slots=True)
class IngressParts:
    """What takes requests and has them answered."""

    caller: Caller
    service_handler: ServiceRequestHandler
    host_handler: HostRequestHandler
    lease_renewal: LeaseRenewal
    quotas: QuotaGate
    service_server: HttpServer[ServiceAdmitted]
    host_server: HttpServer[HostAdmitted]


@dataclass(frozen=True, slots=True)
class DaemonParts:
    """All parts of one daemon; ``serving`` is None on an edge."""

    state: SharedState
    follower_runner: FollowerRunner
    quarantine: Quarantine
    serving: ServingParts | None
    linked: LinkParts
    backend_state: BackendStateParts
    ingress: IngressParts
