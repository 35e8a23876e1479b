"""The back end beside this daemon, where it tells by heartbeats who it is.

Carries out what the registrar decides: the daemon takes work for the back end or turns it away, its
callers hear of it on their links, and control passes the registration on to everybody else.
"""

from loguru import logger

from finchshed.daemon.backend.answer_head import slots_of
from finchshed.daemon.backend.client import Backend, BackendAnswer, BackendResult, BackendUnreached
from finchshed.daemon.backend.health import check_health
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.leaving import Leaving, new_incarnation
from finchshed.daemon.link_side import LinkSide
from finchshed.daemon.serving.callee import Callee
from finchshed.directory.registrar import Heartbeat, Registrar
from finchshed.directory.registration import InstanceState, Registration
from finchshed.distribution.client import ControlClient
from finchshed.http.status import STATUS_OK
from finchshed.link.listener import LinkListener
from finchshed.runtime import clock


class OwnBackend:
    """Keeps the daemon in step with its back end.

    Parameters
    ----------
    registrar
        Decides.
    """

    def __init__(
        self,
        registrar: Registrar,
        callee: Callee,
        *,
        side: LinkSide,
        leaving: Leaving,
        listener: LinkListener,
        client: ControlClient,
        backend: Backend,
        names: HeaderNames,
    ) -> None:
        self._registrar = registrar
        self._callee = callee
        self._side = side
        self._leaving = leaving
        self._listener = listener
        self._client = client
        self._backend = backend
        self._names = names
        self._client.registration = lambda: self.registration
        self._callee.on_backend_fault = self._on_fault
        self._leaving.set_backend_leaving(True)
        self._callee.draining = True

    @property
    def registration(self) -> Registration:
        """What is told of the back end."""
        return self._registrar.registration

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat; what it changes is in force on return."""
        if self._registrar.on_heartbeat(heartbeat, clock.now()):
            self._act()

    def on_leave(self, instance: str) -> None:
        """Take an instance's word that it leaves; it is in force on return."""
        if self._registrar.on_leave(instance):
            self._act()

    def on_own_registration(self, registration: Registration) -> None:
        """Take what others hold of this daemon's back end."""
        if self._registrar.on_own_registration(registration):
            self._client.announce()

    async def identify(self, service: str, health_path: str) -> None:
        """Ask the back end who it is, unless a heartbeat has told already.

        A daemon that was restarted need not wait for the next heartbeat to take work for it.
        """
        if self.registration.instance or not service:
            return
        result = await check_health(self._backend, health_path)
        if not isinstance(result, BackendAnswer) or result.status != STATUS_OK:
            return
        told = dict(result.headers)
        instance = told.get(self._names.instance, "")
        slots = slots_of(told.get(self._names.load, ""))
        if not instance or not slots:
            return
        if self._registrar.on_health(instance, service, slots, clock.now()):
            self._act()

    def tick(self) -> None:
        """Look for a back end that fell silent."""
        if self._registrar.tick(clock.now()):
            self._act()

    def _on_fault(self, instance: str, result: BackendResult) -> None:
        if isinstance(result, BackendUnreached) and result.is_refused:
            changed = self._registrar.on_unreachable()
        elif isinstance(result, BackendAnswer):
            changed = self._registrar.on_misdirected(instance)
        else:
            return
        if changed:
            self._act()

    def _act(self) -> None:
        registration = self._registrar.registration
        logger.info(
            "back end {} of {}: {}", registration.instance, registration.service, registration.state
        )
        self._callee.serve_instance(registration.instance, registration.service, registration.slots)
        is_new = registration.instance != self._side.endpoint
        self._side.endpoint = registration.instance
        self._side.service = registration.service
        takes_work = registration.state is InstanceState.READY
        self._leaving.set_backend_leaving(not takes_work)
        if is_new:
            self._tell_new_instance()
        if takes_work:
            self._leaving.stay()
        else:
            self._leaving.tell()
            self._callee.turn_away_waiting()
        self._client.announce()

    def _tell_new_instance(self) -> None:
        self._side.incarnation = new_incarnation()
        for link in self._listener.links():
            link.tell_hello()
