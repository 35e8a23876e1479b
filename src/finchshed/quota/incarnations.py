"""Leader's record of what each incarnation of each daemon may hold. No I/O.

A restarted daemon holds nothing, but the shares of its previous incarnation may be in use until
their lease ends or the newer incarnation reports. Owns the holdings and keeps the totals of the
tenants' pools consistent with them.
"""

import itertools
from collections.abc import Iterator, Mapping

import msgspec

from finchshed.quota.tenant_pool import Holding, TenantPool


class Incarnation(msgspec.Struct):
    """One run of a daemon process that has reported, and its holdings by tenant."""

    started_ms: int
    number: int
    ends_at: float
    holdings: dict[str, Holding]


class IncarnationTable:
    """Incarnations that may hold shares.

    Parameters
    ----------
    tenants
        Pools of the limited tenants by name. The table reads the caller's mapping, which may
        change.
    """

    def __init__(self, tenants: Mapping[str, TenantPool]) -> None:
        self._tenants = tenants
        self._by_daemon: dict[str, dict[str, Incarnation]] = {}

    def get(self, daemon: str, incarnation: str) -> Incarnation | None:
        """Return the entry of one incarnation, or None if it isn't counted."""
        return self._by_daemon.get(daemon, {}).get(incarnation)

    def put(self, daemon: str, incarnation: str, entry: Incarnation) -> None:
        """Store an entry whose holdings are already included in the pools' totals."""
        self._by_daemon.setdefault(daemon, {})[incarnation] = entry

    def forget_tenant(self, name: str) -> None:
        """Remove all holdings of a tenant whose pool no longer exists."""
        for entry in self._all():
            entry.holdings.pop(name, None)

    def forget(self, daemon: str, incarnation: str) -> None:
        """Remove an incarnation and subtract its holdings from the pools."""
        entries = self._by_daemon.get(daemon, {})
        entry = entries.pop(incarnation, None)
        if entry is None:
            return
        for name, holding in entry.holdings.items():
            self._tenants[name].subtract(holding)
        if not entries:
            del self._by_daemon[daemon]

    def forget_before(self, daemon: str, started_ms: int) -> None:
        """Remove the incarnations of ``daemon`` that started before ``started_ms``."""
        entries = self._by_daemon.get(daemon, {})
        older = [name for name, entry in entries.items() if entry.started_ms < started_ms]
        for incarnation in older:
            self.forget(daemon, incarnation)

    def forget_ended(self, now: float) -> None:
        """Remove the incarnations whose lease has ended."""
        ended = [
            (daemon, incarnation)
            for daemon, entries in self._by_daemon.items()
            for incarnation, entry in entries.items()
            if entry.ends_at <= now
        ]
        for daemon, incarnation in ended:
            self.forget(daemon, incarnation)

    def _all(self) -> Iterator[Incarnation]:
        return itertools.chain.from_iterable(
            entries.values() for entries in self._by_daemon.values()
        )
