"""The back end beside this daemon, where it says by heartbeats who it is.

Carries out what the registrar decides: the daemon takes work for the back end or turns it away, its
callers are told on their links, and control passes the registration on to everybody else. Owns the
registration; relies on the drain state to refuse calls while no instance is ready.
"""

from loguru import logger

from finchshed.daemon.backend.answer_reader import parse_slots
from finchshed.daemon.backend.client import (
    BackendAnswer,
    BackendClient,
    BackendResult,
    BackendUnreached,
)
from finchshed.daemon.backend.events import BackendEvents
from finchshed.daemon.backend.health import check_health
from finchshed.daemon.draining import DrainAnnouncer, DrainState
from finchshed.daemon.endpoint_identity import EndpointIdentity
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.serving.callee import Callee
from finchshed.directory.registrar import BackendHeartbeat, Registrar
from finchshed.directory.registration import InstanceState, Registration
from finchshed.distribution.client import ControlClient
from finchshed.http.status import STATUS_OK
from finchshed.link.listener import LinkListener
from finchshed.runtime import clock


class RegisteredBackend:
    """Keeps the daemon in step with its back end.

    Parameters
    ----------
    registrar
        Decides.
    drain
        Holds whether an instance is ready, as one of its signs; starts with none.
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
        self._client.registration = lambda: self.registration
        events.subscribe_faults(self._on_fault)

    @property
    def registration(self) -> Registration:
        """What everybody else is told of the back end."""
        return self._registrar.registration

    def on_heartbeat(self, heartbeat: BackendHeartbeat) -> None:
        """Act on a heartbeat; what it changes is in force on return."""
        if self._registrar.on_heartbeat(heartbeat, clock.now()):
            self._apply()

    def on_leave(self, instance: str) -> None:
        """Act on an instance's word that it leaves; it is in force on return."""
        if self._registrar.on_leave(instance):
            self._apply()

    def on_own_registration(self, registration: Registration) -> None:
        """Compare with what others hold of this daemon's back end."""
        if self._registrar.on_own_registration(registration):
            self._client.announce()

    async def identify(self, service: str, health_path: str) -> None:
        """Ask the back end who it is, unless a heartbeat has said so already.

        A daemon that was restarted need not wait for the next heartbeat to take work for it.
        """
        if self.registration.instance or not service:
            return
        result = await check_health(self._backend, health_path)
        if not isinstance(result, BackendAnswer) or result.status != STATUS_OK:
            return
        headers = dict(result.headers)
        instance = headers.get(self._names.instance, "")
        slots = parse_slots(headers.get(self._names.load, ""))
        if not instance or not slots:
            return
        if self._registrar.on_health(instance, service, slots, clock.now()):
            self._apply()

    def tick(self) -> None:
        """Look for a back end that fell silent."""
        if self._registrar.tick(clock.now()):
            self._apply()

    def _on_fault(self, instance: str, result: BackendResult) -> None:
        if isinstance(result, BackendUnreached) and result.is_refused:
            changed = self._registrar.on_unreachable()
        elif isinstance(result, BackendAnswer):
            changed = self._registrar.on_misdirected(instance)
        else:
            return
        if changed:
            self._apply()

    def _apply(self) -> None:
        registration = self._registrar.registration
        logger.info(
            "back end {} of {}: {}", registration.instance, registration.service, registration.state
        )
        self._callee.set_instance(registration.instance, registration.service, registration.slots)
        is_new = registration.instance != self._identity.name
        self._identity.name = registration.instance
        self._identity.service = registration.service
        is_ready = registration.state is InstanceState.READY
        self._drain.lacks_ready_backend = not is_ready
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
