"""Whether this endpoint leaves, by any sign, and what its callers are told of it.

There are three signs: the daemon is being stopped, the platform lists the machine, the back end
says so. New work is taken again only once none is left.
"""

import secrets

from loguru import logger

from finchshed.daemon.backend.client import Backend
from finchshed.daemon.backend.health import BackendWatch
from finchshed.daemon.calling.platform_hints import OwnListing
from finchshed.daemon.link_side import LinkSide
from finchshed.daemon.serving.callee import Callee
from finchshed.distribution.messages import Hints
from finchshed.link.listener import LinkListener
from finchshed.runtime import clock

INCARNATION_BYTES = 8


class Leaving:
    """Holds the signs.

    Parameters
    ----------
    endpoint
        Name of this endpoint, empty on an edge.

    Attributes
    ----------
    is_stopping
        Whether the daemon is being stopped.
    watch
        Watches the back end; None on an edge.
    """

    def __init__(self, endpoint: str) -> None:
        self.is_stopping = False
        self.watch: BackendWatch | None = None
        self._is_listed = False
        self._backend_leaves = False
        self._own_listing = OwnListing(endpoint, clock.now())
        self._callee: Callee | None = None
        self._side: LinkSide | None = None
        self._listener: LinkListener | None = None

    def takes_nothing(self) -> bool:
        """Whether any sign says that this endpoint leaves."""
        watch = self.watch
        if self.is_stopping or self._is_listed or self._backend_leaves:
            return True
        return watch is not None and watch.is_leaving

    def set_backend_leaving(self, is_leaving: bool) -> None:
        """Take what the back end's registration says; those concerned are told apart."""
        self._backend_leaves = is_leaving

    def watch_backend(self, backend: Backend) -> BackendWatch:
        """Return the watch of the back end; whoever runs it calls its ``run``."""
        self.watch = BackendWatch(backend, self._on_backend_leaving, self._on_backend_returned)
        return self.watch

    def attach(self, callee: Callee | None, side: LinkSide, listener: LinkListener) -> None:
        """Name those who are told."""
        self._callee = callee
        self._side = side
        self._listener = listener

    def on_hints(self, hints: Hints) -> None:
        """Take the platform's list."""
        is_listed = self._own_listing.is_meant(hints, clock.now())
        if is_listed == self._is_listed:
            return
        self._is_listed = is_listed
        if is_listed:
            logger.info("the platform lists this machine as leaving")
            self.tell()
        else:
            self.stay()

    def tell(self) -> None:
        """Take no new work, and tell callers."""
        if self._callee is not None:
            self._callee.draining = True
        if self._listener is not None:
            for link in self._listener.links():
                link.tell_draining()

    def _on_backend_leaving(self) -> None:
        logger.info("the back end says that it is leaving")
        self.tell()

    def _on_backend_returned(self) -> None:
        """Take work again; to peers this is another back end."""
        logger.info("the back end has returned")
        if self._callee is None or self.takes_nothing():
            return
        self._callee.draining = False
        assert self._side is not None
        assert self._listener is not None
        self._side.incarnation = new_incarnation()
        for link in self._listener.links():
            link.tell_hello()

    def stay(self) -> None:
        """Take work again, if no sign is left, and tell callers."""
        if self._callee is None or self.takes_nothing():
            return
        self._callee.draining = False
        assert self._listener is not None
        for link in self._listener.links():
            link.tell_load()


def new_incarnation() -> str:
    """Return what tells one life of an endpoint from all others."""
    return secrets.token_hex(INCARNATION_BYTES)
