"""A callee with mocked dependencies."""

import random
from unittest.mock import Mock

from finchshed.admission.path_callers import PathCallers
from finchshed.admission.path_completion import PathCompletion
from finchshed.admission.path_thresholds import PathThresholds
from finchshed.common.memory_budget import MemoryBudget
from finchshed.daemon.backend.events import BackendEvents
from finchshed.daemon.backend.rate_limit_monitor import RateLimitMonitor
from finchshed.daemon.draining import DrainState
from finchshed.daemon.endpoint_identity import EndpointIdentity
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.quarantine import Quarantine
from finchshed.daemon.serving.callee import Callee
from finchshed.daemon.serving.served_requests import ServedRequests
from finchshed.daemon.settings import DaemonSettings
from finchshed.daemon.signatures import SignatureFactory


def make_callee(served: ServedRequests, paths: PathThresholds) -> Callee:
    """Return a callee whose back end has yet to register, without a configuration."""
    settings = DaemonSettings(
        node="d1",
        region="texas",
        zone="a",
        service="sales",
        http_address="",
        host_address="127.0.0.1:9003",
        backend_address="127.0.0.1:9000",
        link_address="127.0.0.1:9001",
        control_addresses=("127.0.0.1:9002",),
        registers_backend=True,
    )
    signatures = SignatureFactory(HeaderNames())
    return Callee(
        settings,
        backend=Mock(),
        at_most_once=Mock(),
        served=served,
        paths=paths,
        path_callers=PathCallers(paths, lambda _service, _route, _now: {}),
        completion=PathCompletion(paths, lambda _service, _route, _now: 1.0),
        rng=random.Random(1),
        drain=DrainState(),
        events=BackendEvents(),
        revision=lambda: 1,
        names=HeaderNames(),
        signatures=signatures,
        quarantine=Quarantine(Mock(is_connected=True), Mock()),
        rate_limit=RateLimitMonitor(EndpointIdentity("", "sales")),
        memory=MemoryBudget(1 << 20),
    )
