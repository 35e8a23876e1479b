"""Which control node a daemon tries next. Pure; randomness is passed in.

Nodes of the own zone come first, the others in an order of the daemon's own, so that the daemons
of a lost control node spread over the rest. A node that failed is tried again after a delay that
doubles, with jitter over the upper half of it.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from finchshed.common.backoff import Backoff

BACKOFF_SECONDS_MIN = 0.2
"""Bound of the wait before a node that failed once is tried again. Chosen, not measured."""

BACKOFF_SECONDS_MAX = 5.0
"""Bound of that wait after many failures. Chosen, not measured."""

CONNECT_TIMEOUT_SECONDS_MIN = 0.15
"""Longest wait for the first connection to a node: ten round trips between the zones of a region.

A machine that has no power answers nothing; when a whole site comes back the nodes that are up
already are found by going on to the next one soon. The wait doubles with each failure."""

CONNECT_TIMEOUT_SECONDS_MAX = 0.75
"""Longest wait for a connection, once shorter ones have failed: a slow node, a far region."""

RECONNECT_BACKOFF = Backoff(BACKOFF_SECONDS_MIN, BACKOFF_SECONDS_MAX)
CONNECT_TIMEOUT = Backoff(CONNECT_TIMEOUT_SECONDS_MIN, CONNECT_TIMEOUT_SECONDS_MAX)

STABLE_SECONDS = 10.0
"""A connection that lived this long counts as a success, and the delay starts anew. Chosen,
not measured."""


@dataclass(frozen=True, slots=True)
class ControlAddress:
    """Distribution address ``host:port`` of a control node; ``zone`` is empty if not known."""

    address: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class ConnectAttempt:
    """Try ``address`` after ``wait_seconds``, for ``connect_seconds`` at most."""

    address: ControlAddress
    wait_seconds: float
    connect_seconds: float


@dataclass(slots=True)
class _Record:
    failures: int
    ready_at: float
    rank: float


def parse_control_address(text: str) -> ControlAddress:
    """Read ``zone=host:port`` or ``host:port``."""
    zone, separator, address = text.partition("=")
    return ControlAddress(address, zone) if separator else ControlAddress(text)


class AddressBook:
    """Control nodes as one daemon knows them.

    Parameters
    ----------
    addresses
        Control nodes of the settings; at least one.
    zone
        Zone of the daemon.
    rng
        Source of the order and of the jitter.
    """

    def __init__(self, addresses: Iterable[ControlAddress], zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._records: dict[ControlAddress, _Record] = {}
        for address in addresses:
            self._add(address)

    def add(self, addresses: Iterable[str]) -> None:
        """Add nodes that a control node or the settings named later."""
        known = {entry.address for entry in self._records}
        for text in addresses:
            if text not in known:
                self._add(ControlAddress(text))

    def next_attempt(self, now: float) -> ConnectAttempt:
        """Return the most preferred node that is ready, or else the first to be ready."""
        ready = [entry for entry, record in self._records.items() if record.ready_at <= now]
        if ready:
            chosen = min(ready, key=self._preference)
            return ConnectAttempt(chosen, 0.0, self._connect_seconds(chosen))
        first = min(self._records, key=lambda entry: self._records[entry].ready_at)
        wait = self._records[first].ready_at - now
        return ConnectAttempt(first, wait, self._connect_seconds(first))

    def own_zone_node(self, address: ControlAddress) -> ControlAddress | None:
        """Return a node of the own zone, if ``address`` is of another."""
        if address.zone == self._zone:
            return None
        return next((entry for entry in self._records if entry.zone == self._zone), None)

    def on_reachable(self, address: ControlAddress) -> None:
        """Note that a connection could be opened: earlier failures count no more."""
        record = self._records[address]
        record.failures = 0
        record.ready_at = 0.0

    def on_connection_ended(
        self, address: ControlAddress, lived_seconds: float, now: float
    ) -> None:
        """Note that an attempt or a connection has ended; ``lived_seconds`` 0: never opened."""
        record = self._records[address]
        if lived_seconds >= STABLE_SECONDS:
            record.failures = 0
        failures = record.failures
        record.failures += 1
        record.rank = self._rng.random()
        record.ready_at = now + RECONNECT_BACKOFF.half_jitter(failures, self._rng)

    def _connect_seconds(self, address: ControlAddress) -> float:
        failures = self._records[address].failures
        return CONNECT_TIMEOUT.bound(failures)

    def _add(self, address: ControlAddress) -> None:
        self._records[address] = _Record(0, 0.0, self._rng.random())

    def _preference(self, address: ControlAddress) -> tuple[int, bool, float]:
        record = self._records[address]
        return (min(record.failures, 1), address.zone != self._zone, record.rank)
