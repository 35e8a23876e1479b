"""Whether this endpoint drains, by any sign, and what callers are told of it.

:class:`DrainState` is the one owner of that: whoever refuses work or reports the drain asks it.
There are four signs: the daemon is being stopped, the platform lists the machine, the back end
says so on its answers, and its registration isn't ready. New work is taken again only once none
is left.

A sign and its announcement are two things, apart in time. At a stop the sign is there at once, and
the daemon reports itself as not ready, while calls of other daemons are still served for
``drain_serving_seconds``: only :meth:`DrainAnnouncer.announce` tells callers, and from then on
their new calls are refused.

Relies on the health monitor and the registration of the back end, and on the platform's list, to
report signs.
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
    """The signs, and whether callers were told of one.

    Attributes
    ----------
    is_stopping
        The daemon is being stopped.
    is_listed
        The platform lists this machine as leaving.
    backend_says_so
        The back end said so on an answer or a check of its health.
    lacks_ready_backend
        The back end registers, and no instance of it is ready.
    is_announced
        Callers were told; new calls are refused.
    """

    is_stopping: bool = False
    is_machine_leaving: bool = False
    is_backend_draining: bool = False
    lacks_ready_backend: bool = False
    is_announced: bool = False

    @classmethod
    def awaiting_registration(cls) -> "DrainState":
        """Return the state beside a back end that registers and hasn't done so yet."""
        return cls(lacks_ready_backend=True, is_announced=True)

    @property
    def is_draining(self) -> bool:
        """Whether any sign is there, announced or not."""
        return (
            self.is_stopping
            or self.is_machine_leaving
            or self.is_backend_draining
            or self.lacks_ready_backend
        )


class DrainAnnouncer:
    """Takes up signs and tells callers on their links.

    Parameters
    ----------
    local_hints
        Judges whether the platform's list means this machine.
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
        """Take no new calls from now on, and tell callers."""
        self._state.is_announced = True
        for link in self._listener.links():
            link.send_draining()

    def resume(self) -> None:
        """Take calls again, if no sign is left, and tell callers."""
        if self._state.is_draining:
            return
        self._state.is_announced = False
        for link in self._listener.links():
            link.send_load()

    def on_hints(self, hints: Hints) -> None:
        """Follow the platform's list."""
        is_listed = self._local_hints.is_leaving(hints, clock.now())
        if is_listed == self._state.is_machine_leaving:
            return
        self._state.is_machine_leaving = is_listed
        if is_listed:
            logger.info("the platform lists this machine as leaving")
            self.announce()
        else:
            self.resume()

    def on_backend_draining(self) -> None:
        """Drain: the back end said so."""
        self._state.is_backend_draining = True
        logger.info("the back end says that it is draining")
        self.announce()

    def on_backend_returned(self) -> None:
        """Take calls again, if no other sign is left; to peers this is another back end."""
        self._state.is_backend_draining = False
        logger.info("the back end has returned")
        if self._state.is_draining:
            return
        self._state.is_announced = False
        self._identity.renew_incarnation()
        for link in self._listener.links():
            link.send_hello()
