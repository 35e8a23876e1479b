"""Drain state of the endpoint, and its announcement to callers.

An endpoint drains for any of four reasons: the daemon is stopping, the platform lists the machine
for removal, the back end announced a drain, or no registered instance is ready. It accepts new
calls again once no reason is left.

Being drained and announcing it are separate steps. A stopping daemon reports itself as not ready at
once but serves calls for another ``drain_serving_seconds``; new calls are refused only after
:meth:`DrainAnnouncer.announce` has notified callers.
"""

from dataclasses import dataclass

from loguru import logger

from finchshed.daemon.calling.platform_hints import LocalMachineHints
from finchshed.daemon.endpoint_identity import EndpointIdentity
from finchshed.distribution.messages import Hints
from finchshed.link.listener import LinkListener
from finchshed.runtime import clock


@dataclass(slots=True)
class DrainState:
    """The reasons to drain, and whether callers were notified.

    Attributes
    ----------
    is_stopping
        The daemon is stopping.
    is_machine_leaving
        The platform lists this machine for removal.
    is_backend_draining
        The back end announced a drain in an answer or a health check.
    lacks_ready_backend
        The back end registers itself, and no instance is ready.
    is_run_leaving
        The registered instance announced that it leaves, for good. Implies ``lacks_ready_backend``.
    is_announced
        Callers were notified, and new calls are refused.
    """

    is_stopping: bool = False
    is_machine_leaving: bool = False
    is_backend_draining: bool = False
    lacks_ready_backend: bool = False
    is_run_leaving: bool = False
    is_announced: bool = False

    @classmethod
    def awaiting_registration(cls) -> "DrainState":
        """Return the initial state beside a back end that has yet to register."""
        return cls(lacks_ready_backend=True, is_announced=True)

    @property
    def is_draining(self) -> bool:
        """Whether there is any reason to drain, announced or not."""
        return (
            self.is_stopping
            or self.is_machine_leaving
            or self.is_backend_draining
            or self.lacks_ready_backend
        )


class DrainAnnouncer:
    """Records reasons to drain and notifies callers on their links.

    Parameters
    ----------
    local_hints
        Decides whether the platform's list contains this machine.
    listener
        Holds the links of callers.
    """

    def __init__(
        self,
        state: DrainState,
        identity: EndpointIdentity,
        local_hints: LocalMachineHints,
        listener: LinkListener,
    ) -> None:
        self._state = state
        self._identity = identity
        self._local_hints = local_hints
        self._listener = listener

    def announce(self) -> None:
        """Notify callers, and refuse new calls from now on."""
        self._state.is_announced = True
        for link in self._listener.links():
            link.send_draining()
            if self._state.is_run_leaving:
                link.send_load()

    def resume(self) -> None:
        """Accept calls again and notify callers, if no reason to drain is left."""
        if self._state.is_draining:
            return
        self._state.is_announced = False
        for link in self._listener.links():
            link.send_load()

    def on_hints(self, hints: Hints) -> None:
        """Process an update of the platform's list."""
        is_listed = self._local_hints.is_leaving(hints, clock.now())
        if is_listed == self._state.is_machine_leaving:
            return
        self._state.is_machine_leaving = is_listed
        if is_listed:
            logger.info("draining: the platform lists this machine for removal")
            self.announce()
        else:
            self.resume()

    def on_backend_draining(self) -> None:
        """Start draining because the back end announced it."""
        self._state.is_backend_draining = True
        logger.info("draining: announced by the back end")
        self.announce()

    def on_backend_returned(self) -> None:
        """Accept calls again under a new incarnation, if no reason to drain is left."""
        self._state.is_backend_draining = False
        logger.info("the back end has returned")
        if self._state.is_draining:
            return
        self._state.is_announced = False
        self._identity.renew_incarnation()
        for link in self._listener.links():
            link.send_hello()
