"""The platform's list of leaving machines, as it reaches the routing table.

The list lags, so a hint may mean an earlier machine at the same address: it counts for an
incarnation that was linked before the machine can have been listed, and for no later one. Owns the
marks it made; relies on the links to say when each incarnation was linked.
"""

from finchshed.distribution.messages import Hints
from finchshed.routing.endpoint import DrainSource
from finchshed.routing.table import RoutingTable

NO_HINTS = Hints((), 0.0)


class PlatformHints:
    """Marks endpoints in ``table`` as the platform lists them."""

    def __init__(self, table: RoutingTable) -> None:
        self._table = table
        self._hints = NO_HINTS
        self._received_at = 0.0
        self._linked: dict[str, tuple[str, float]] = {}
        self._marked: set[str] = set()

    def on_linked(self, endpoint: str, incarnation: str, now: float) -> None:
        """Note that a link to an endpoint is open."""
        held = self._linked.get(endpoint)
        if held is None or held[0] != incarnation:
            self._linked[endpoint] = (incarnation, now)
        self._apply(now)

    def on_hints(self, hints: Hints, now: float) -> None:
        """Follow the list in place of the one held."""
        self._hints = hints
        self._received_at = now
        self._apply(now)

    def _apply(self, now: float) -> None:
        meant = {hint.endpoint for hint in self._hints.leaving if self._is_meant(hint.endpoint)}
        for endpoint in self._marked - meant:
            self._table.set_drain_source(endpoint, DrainSource.PLATFORM, False, now)
        for endpoint in meant:
            self._table.set_drain_source(endpoint, DrainSource.PLATFORM, True, now)
        self._marked = meant

    def _is_meant(self, endpoint: str) -> bool:
        linked = self._linked.get(endpoint)
        if linked is None:
            return False
        linked_seconds = self._received_at - linked[1]
        return any(
            self._hints.applies_to(hint, linked_seconds)
            for hint in self._hints.leaving
            if hint.endpoint == endpoint
        )


class OwnListing:
    """Whether the platform lists the machine this daemon stands on.

    Callers mark an endpoint only if their link to it is old enough, and links open late. The
    daemon beside the back end has stood there longest and tells all of them.

    Parameters
    ----------
    endpoint
        Name of its own endpoint; empty for an edge.
    started_at
        When the daemon started, monotonic seconds.
    """

    def __init__(self, endpoint: str, started_at: float) -> None:
        self._endpoint = endpoint
        self._started_at = started_at

    def is_meant(self, hints: Hints, now: float) -> bool:
        """Whether ``hints`` say that this machine leaves."""
        age = now - self._started_at
        return any(
            hint.endpoint == self._endpoint and hints.applies_to(hint, age)
            for hint in hints.leaving
        )
