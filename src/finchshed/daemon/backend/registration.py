"""Registration of the local back end, which identifies itself by heartbeats.

Applies the registrar's decisions: the daemon accepts or refuses calls, callers are notified on
their links, and control distributes the registration to the other daemons.
"""

from loguru import logger

from finchshed.common.min_interval import MinInterval
from finchshed.daemon import metrics
from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendClient,
    BackendResult,
    BackendUnreached,
)
from finchshed.daemon.backend.events import AnswerEvent, BackendEvents
from finchshed.daemon.backend.health import check_health
from finchshed.daemon.backend.load_header import read_load
from finchshed.daemon.backend.load_monitor import LoadMonitor
from finchshed.daemon.draining import DrainAnnouncer, DrainState
from finchshed.daemon.endpoint_identity import EndpointIdentity
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.serving.callee import Callee
from finchshed.directory.instance_run import InstanceRun
from finchshed.directory.registrar import BackendHeartbeat, Registrar
from finchshed.directory.registration import InstanceState, Registration
from finchshed.distribution.client import ControlClient
from finchshed.http.status import STATUS_OK
from finchshed.link.listener import LinkListener
from finchshed.runtime import clock

MIN_LOG_INTERVAL_SECONDS = 1.0
"""Minimum interval between log lines about heartbeats that are passed over."""

MAX_QUOTED_CHARACTERS = 60
"""Characters of an unknown instance name that are logged."""


class RegisteredBackend:
    """Applies changes of the back end's registration to the daemon.

    Parameters
    ----------
    registrar
        State machine of the registration.
    drain
        Drain state; includes whether an instance is ready.
    load
        Load that the back end reports.
    """

    def __init__(
        self,
        registrar: Registrar,
        callee: Callee,
        *,
        identity: EndpointIdentity,
        drain: DrainState,
        announcer: DrainAnnouncer,
        listener: LinkListener,
        client: ControlClient,
        backend: BackendClient,
        events: BackendEvents,
        names: HeaderNames,
        load: LoadMonitor,
    ) -> None:
        self._registrar = registrar
        self._callee = callee
        self._identity = identity
        self._drain = drain
        self._announcer = announcer
        self._listener = listener
        self._client = client
        self._backend = backend
        self._names = names
        self._load = load
        self._log_interval = MinInterval(MIN_LOG_INTERVAL_SECONDS)
        self._client.registration = lambda: self.registration
        events.subscribe_answers(self._on_answer)
        events.subscribe_faults(self._on_fault)

    @property
    def registration(self) -> Registration:
        """The registration distributed to other daemons."""
        return self._registrar.registration

    def on_heartbeat(self, heartbeat: BackendHeartbeat) -> None:
        """Process a heartbeat; changes are applied on return."""
        if self._registrar.on_heartbeat(heartbeat, clock.now()):
            self._apply()
        if self._registrar.latest_heartbeat is heartbeat:
            self._load.on_heartbeat(heartbeat)

    def on_leave(self, instance: str, born_ms: int = 0) -> None:
        """Process a run's notice that it is shutting down; applied on return.

        ``born_ms`` is the start of the run in Unix milliseconds, 0 if it isn't told.
        """
        if self._registrar.on_leave(instance, born_ms):
            self._apply()

    def on_unusable_heartbeat(self, instance: str, problem: str) -> None:
        """Count a message that names no back end to use; log it, at a bounded rate."""
        metrics.HEARTBEATS_REJECTED.inc()
        if self._log_interval.has_passed(clock.now()):
            name = instance[:MAX_QUOTED_CHARACTERS]
            logger.warning("heartbeat passed over, of {!r}: {}", name, problem)

    def on_own_registration(self, registration: Registration) -> None:
        """Compare with the registration held by control; announce again if that is outdated."""
        before = self.registration.state
        is_outdated = self._registrar.on_own_registration(registration)
        if self.registration.state is not before:
            self._apply()
        elif is_outdated:
            self._client.announce()

    async def identify(self, service: str, health_path: str) -> None:
        """Identify the back end by a health check, unless a heartbeat has done so.

        Lets a restarted daemon accept calls before the next heartbeat.
        """
        if self.registration.instance or not service:
            return
        result = await check_health(self._backend, health_path)
        if not isinstance(result, BackendAnswer):
            return
        headers = dict(result.headers)
        instance = headers.get(self._names.instance, "")
        if result.draining and instance:
            self.on_leave(instance)
            return
        if result.status != STATUS_OK:
            return
        load = read_load(headers.get(self._names.load, ""))
        if not instance or load is None:
            return
        if self._registrar.on_health(instance, service, load.slots, clock.now()):
            self._apply()
            self._load.on_health(result)

    def tick(self) -> None:
        """Detect missed heartbeats."""
        if self._registrar.tick(clock.now()):
            self._apply()

    def _on_answer(self, event: AnswerEvent) -> None:
        run = event.run
        if event.answer.draining and self._registrar.on_leave(run.instance, run.born_ms):
            logger.info(
                "back end {} leaves, told by its answer to request {}", run.instance, event.request
            )
            self._apply()

    def _on_fault(self, run: InstanceRun, result: BackendResult) -> None:
        if not run.is_same(self._registrar.run):
            return
        if isinstance(result, BackendUnreached) and result.is_refused:
            changed = self._registrar.on_unreachable()
        elif isinstance(result, BackendAnswer):
            changed = self._registrar.on_misdirected(run.instance)
        else:
            return
        if changed:
            self._apply()

    def _apply(self) -> None:
        registration = self._registrar.registration
        logger.info(
            "back end {} of {}: {}, born {}",
            registration.instance,
            registration.service,
            registration.state,
            registration.born_ms or "unknown",
        )
        self._callee.set_run(registration.run, registration.service, registration.slots)
        held = self._identity.registration
        is_new = held is None or not registration.run.is_same(held.run)
        self._identity.name = registration.instance
        self._identity.registration = registration
        self._identity.service = registration.service
        is_ready = registration.state is InstanceState.READY
        self._drain.lacks_ready_backend = not is_ready
        self._drain.is_run_leaving = registration.state is InstanceState.LEAVING
        if is_new:
            self._announce_new_instance()
        if is_ready:
            self._announcer.resume()
        else:
            self._announcer.announce()
            self._callee.refuse_queued()
        self._client.announce()

    def _announce_new_instance(self) -> None:
        self._identity.renew_incarnation()
        for link in self._listener.links():
            link.send_hello()
