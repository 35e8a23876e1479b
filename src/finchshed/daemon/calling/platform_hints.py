"""Applies the platform's list of machines scheduled for removal.

The list is delayed, so an entry may refer to an earlier machine at the same address. It applies
only to an incarnation that was linked before the machine can have been listed.
"""

from finchshed.distribution.messages import Hints
from finchshed.routing.endpoint import DrainSource
from finchshed.routing.table import RoutingTable

NO_HINTS = Hints((), 0.0)


class PlatformHints:
    """Marks listed endpoints as draining in ``table``."""

    def __init__(self, table: RoutingTable) -> None:
        self._table = table
        self._hints = NO_HINTS
        self._received_at = 0.0
        self._linked: dict[str, tuple[str, float]] = {}
        self._marked: set[str] = set()

    def on_linked(self, endpoint: str, incarnation: str, now: float) -> None:
        """Record when an incarnation of an endpoint was first linked."""
        held = self._linked.get(endpoint)
        if held is None or held[0] != incarnation:
            self._linked[endpoint] = (incarnation, now)
        self._apply(now)

    def on_hints(self, hints: Hints, now: float) -> None:
        """Replace the list."""
        self._hints = hints
        self._received_at = now
        self._apply(now)

    def _apply(self, now: float) -> None:
        meant = {hint.endpoint for hint in self._hints.leaving if self._is_leaving(hint.endpoint)}
        for endpoint in self._marked - meant:
            self._table.set_drain_source(endpoint, DrainSource.PLATFORM, False, now)
        for endpoint in meant:
            self._table.set_drain_source(endpoint, DrainSource.PLATFORM, True, now)
        self._marked = meant

    def _is_leaving(self, endpoint: str) -> bool:
        linked = self._linked.get(endpoint)
        if linked is None:
            return False
        linked_seconds = self._received_at - linked[1]
        return any(
            self._hints.applies_to(hint, linked_seconds)
            for hint in self._hints.leaving
            if hint.endpoint == endpoint
        )


class LocalMachineHints:
    """Decides whether the list contains the machine this daemon runs on.

    Callers with recent links can't tell whether an entry applies to an endpoint. Its own daemon has
    run on the machine the longest, so it decides for them and announces the drain.

    Parameters
    ----------
    endpoint
        Name of the local endpoint; empty on an edge.
    started_at
        Start time of the daemon, in monotonic seconds.
    """

    def __init__(self, endpoint: str, started_at: float) -> None:
        self._endpoint = endpoint
        self._started_at = started_at

    def is_leaving(self, hints: Hints, now: float) -> bool:
        """Return whether ``hints`` list this machine for removal."""
        age = now - self._started_at
        return any(
            hint.endpoint == self._endpoint and hints.applies_to(hint, age)
            for hint in hints.leaving
        )
