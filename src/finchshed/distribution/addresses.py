"""Selects the control node that a daemon connects to next. No I/O; randomness is injected.

Nodes in the daemon's zone are preferred. The others follow in a random order per daemon, so that
the daemons of a failed control node spread over the rest. Failed nodes are retried with exponential
backoff and jitter over the upper half of the delay.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from finchshed.common.backoff import Backoff

BACKOFF_SECONDS_MIN = 0.2
"""Backoff after the first failure, before jitter."""

BACKOFF_SECONDS_MAX = 5.0
"""Maximum backoff after repeated failures, before jitter."""

CONNECT_TIMEOUT_SECONDS_MIN = 0.15
"""Timeout of the first connection attempt to a node: ten round trips between zones of a region.

Short enough to skip unpowered machines quickly when a whole site restarts. The timeout doubles with
each failure."""

CONNECT_TIMEOUT_SECONDS_MAX = 0.75
"""Maximum connection timeout, for slow nodes and distant regions."""

RECONNECT_BACKOFF = Backoff(BACKOFF_SECONDS_MIN, BACKOFF_SECONDS_MAX)
CONNECT_TIMEOUT = Backoff(CONNECT_TIMEOUT_SECONDS_MIN, CONNECT_TIMEOUT_SECONDS_MAX)

STABLE_SECONDS = 10.0
"""Connection lifetime after which the backoff is reset."""


@dataclass(frozen=True, slots=True)
class ControlAddress:
    """Distribution address ``host:port`` of a control node; ``zone`` is empty if unknown."""

    address: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class ConnectAttempt:
    """Connect to ``address`` after ``wait_seconds``, with a timeout of ``connect_seconds``."""

    address: ControlAddress
    wait_seconds: float
    connect_seconds: float


@dataclass(slots=True)
class _NodeState:
    failures: int
    ready_at: float
    rank: float


def parse_control_address(text: str) -> ControlAddress:
    """Parse ``zone=host:port`` or ``host:port``."""
    zone, separator, address = text.partition("=")
    return ControlAddress(address, zone) if separator else ControlAddress(text)


class AddressBook:
    """Control nodes known to one daemon, with their connection failures.

    Parameters
    ----------
    addresses
        Control nodes from the settings; at least one.
    zone
        Zone of the daemon.
    rng
        Randomness for the order of nodes and for jitter.
    """

    def __init__(self, addresses: Iterable[ControlAddress], zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._states: dict[ControlAddress, _NodeState] = {}
        for address in addresses:
            self._add(address)

    def add(self, addresses: Iterable[str]) -> None:
        """Add control nodes learned later, skipping those already known."""
        known = {entry.address for entry in self._states}
        for text in addresses:
            if text not in known:
                self._add(ControlAddress(text))

    def next_attempt(self, now: float) -> ConnectAttempt:
        """Return the preferred node that isn't backing off, or the one whose backoff ends first."""
        ready = [entry for entry, state in self._states.items() if state.ready_at <= now]
        if ready:
            chosen = min(ready, key=self._preference_key)
            return ConnectAttempt(chosen, 0.0, self._connect_seconds(chosen))
        first = min(self._states, key=lambda entry: self._states[entry].ready_at)
        wait = self._states[first].ready_at - now
        return ConnectAttempt(first, wait, self._connect_seconds(first))

    def own_zone_node(self, address: ControlAddress) -> ControlAddress | None:
        """Return a node in the daemon's zone if ``address`` is in another zone, else None."""
        if address.zone == self._zone:
            return None
        return next((entry for entry in self._states if entry.zone == self._zone), None)

    def on_reachable(self, address: ControlAddress) -> None:
        """Clear the failures and backoff of a node that accepted a connection."""
        state = self._states[address]
        state.failures = 0
        state.ready_at = 0.0

    def on_connection_ended(
        self, address: ControlAddress, lived_seconds: float, now: float
    ) -> None:
        """Record a failed attempt (``lived_seconds`` 0) or the end of a connection."""
        state = self._states[address]
        if lived_seconds >= STABLE_SECONDS:
            state.failures = 0
        failures = state.failures
        state.failures += 1
        state.rank = self._rng.random()
        state.ready_at = now + RECONNECT_BACKOFF.half_jitter(failures, self._rng)

    def _connect_seconds(self, address: ControlAddress) -> float:
        failures = self._states[address].failures
        return CONNECT_TIMEOUT.bound(failures)

    def _add(self, address: ControlAddress) -> None:
        self._states[address] = _NodeState(0, 0.0, self._rng.random())

    def _preference_key(self, address: ControlAddress) -> tuple[int, bool, float]:
        state = self._states[address]
        return (min(state.failures, 1), address.zone != self._zone, state.rank)
