"""What each life of each daemon may hold, as the leader counts it. Pure.

A daemon that starts anew holds nothing, but what its former life held may be in use until its lease
ends, or until the later life reports. Owns the holdings, and keeps the sums of the tenants' pools
in step with them.
"""

import itertools
from collections.abc import Iterator, Mapping

import msgspec

from finchshed.quota.tenant_pool import Holding, TenantPool


class Incarnation(msgspec.Struct):
    """One life of a daemon that reported, and what it may hold."""

    started_ms: int
    number: int
    ends_at: float
    holdings: dict[str, Holding]


class IncarnationTable:
    """The lives that may hold shares.

    Parameters
    ----------
    tenants
        Pools of the limited tenants, by name; the owner's, so that it may change.
    """

    def __init__(self, tenants: Mapping[str, TenantPool]) -> None:
        self._tenants = tenants
        self._lives: dict[str, dict[str, Incarnation]] = {}

    def get(self, daemon: str, incarnation: str) -> Incarnation | None:
        """Return what is counted of one life."""
        return self._lives.get(daemon, {}).get(incarnation)

    def put(self, daemon: str, incarnation: str, life: Incarnation) -> None:
        """Count a life; its holdings are in the sums already."""
        self._lives.setdefault(daemon, {})[incarnation] = life

    def forget_tenant(self, name: str) -> None:
        """Forget what daemons hold of a tenant whose pool is gone."""
        for life in self._all():
            life.holdings.pop(name, None)

    def forget(self, daemon: str, incarnation: str) -> None:
        """Count no more what a life of a daemon held."""
        lives = self._lives.get(daemon, {})
        life = lives.pop(incarnation, None)
        if life is None:
            return
        for name, holding in life.holdings.items():
            self._tenants[name].subtract(holding)
        if not lives:
            del self._lives[daemon]

    def forget_before(self, daemon: str, started_ms: int) -> None:
        """Count no more what lives held that began before another of their daemon."""
        lives = self._lives.get(daemon, {})
        former = [name for name, life in lives.items() if life.started_ms < started_ms]
        for incarnation in former:
            self.forget(daemon, incarnation)

    def forget_ended(self, now: float) -> None:
        """Count no more what was held under leases that must have ended."""
        ended = [
            (daemon, incarnation)
            for daemon, lives in self._lives.items()
            for incarnation, life in lives.items()
            if life.ends_at <= now
        ]
        for daemon, incarnation in ended:
            self.forget(daemon, incarnation)

    def _all(self) -> Iterator[Incarnation]:
        return itertools.chain.from_iterable(lives.values() for lives in self._lives.values())
