"""Runs the production configuration follower of an emulated daemon.

Counterpart of :mod:`finchshed.distribution.follower_runner`.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from finchshed.configuration.resources import Endpoint
from finchshed.distribution.effects import (
    ConnectToPeers,
    FetchFromControl,
    FetchFromPeer,
    FollowerEffect,
    FollowerRecord,
    PersistRecord,
    ReportInForce,
    StartServing,
    TakeEffect,
)
from finchshed.distribution.follower import Follower, FollowerIdentity
from finchshed.distribution.identity import ClientIdentity
from finchshed.distribution.messages import Delta, Hints
from finchshed.distribution.snapshot import Configuration
from finchshed.emulator.control.node import SimulatedControlNode
from finchshed.emulator.daemons.control_client import SimulatedControlClient
from finchshed.emulator.daemons.process import Process

TICK_SECONDS: Final = 0.5
"""Interval between ticks of the follower."""
SYNC_SECONDS: Final = 0.002
"""Time to write the record to disk."""


@dataclass(slots=True)
class FollowerDisk:
    """Record that survives a restart of the daemon, unless ``has_disk`` is False."""

    has_disk: bool
    record: FollowerRecord | None = None


class SimulatedFollowerListener(Protocol):
    """Effects of the follower that the daemon carries out."""

    def take_effect(self, current: Configuration) -> None:
        """Put ``current`` into force."""

    def start_serving(self) -> None:
        """Start accepting calls."""

    def fetch_from_peer(self, peer: str, revision: int, done: Callable[[Delta], None]) -> None:
        """Request the changes after ``revision`` from a peer."""

    def connect_to_peers(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Open links to these endpoints to learn their revisions."""

    def hints(self, hints: Hints) -> None:
        """Handle the platform's list of leaving machines."""


class SimulatedFollowerRunner:
    """Runs a follower for one generation of a daemon."""

    def __init__(
        self,
        process: Process,
        identity: ClientIdentity,
        nodes: Mapping[str, SimulatedControlNode],
        *,
        listener: SimulatedFollowerListener,
        disk: FollowerDisk,
        rng: random.Random,
    ) -> None:
        self._process = process
        self._listener = listener
        self._disk = disk
        self.follower = Follower(
            FollowerIdentity(identity.zone, identity.endpoint),
            has_disk=disk.has_disk,
            record=disk.record,
        )
        self.client = SimulatedControlClient(process, identity, nodes, self, rng)

    def start(self) -> None:
        """Start the follower and its control client."""
        self._perform(self.follower.start(self._process.now))
        self.client.start()
        self._process.call_later(TICK_SECONDS, self._tick)

    def on_peer_revision(self, peer: str, revision: int) -> None:
        """Handle the revision received from ``peer``."""
        effects = self.follower.on_peer_revision(peer, revision, self._process.now)
        if effects:
            self._perform(effects)

    # Callbacks of the control client.

    def control_delta(self, delta: Delta) -> None:
        """Handle a configuration change from the control node."""
        self._perform(self.follower.on_control_delta(delta, self._process.now))

    def control_connected(self) -> None:
        """Handle an accepted subscription."""
        self._perform(self.follower.on_control_connected(self._process.now))

    def control_lost(self) -> None:
        """Handle the loss of the subscription."""
        self._perform(self.follower.on_control_lost(self._process.now))

    def hints(self, hints: Hints) -> None:
        """Handle the platform's list of leaving machines."""
        self._listener.hints(hints)

    def revision_held(self) -> int:
        """Return the revision to subscribe from."""
        return self.follower.held_revision

    def revision_in_force(self) -> int:
        """Return the revision in force."""
        return self.follower.revision

    def _tick(self) -> None:
        self._perform(self.follower.tick(self._process.now))
        self._process.call_later(TICK_SECONDS, self._tick)

    def _perform(self, effects: Sequence[FollowerEffect]) -> None:
        for effect in effects:
            self._perform_one(effect)

    def _perform_one(self, effect: FollowerEffect) -> None:
        match effect:
            case TakeEffect():
                self._listener.take_effect(effect.current)
            case ReportInForce():
                self.client.report_in_force(effect.revision)
            case FetchFromControl():
                self.client.fetch(effect.revision)
            case FetchFromPeer():
                peer = effect.peer
                self._listener.fetch_from_peer(
                    peer, effect.revision, lambda delta: self._peer_delta(peer, delta)
                )
            case ConnectToPeers():
                self._listener.connect_to_peers(effect.endpoints)
            case StartServing():
                self._listener.start_serving()
            case PersistRecord():
                self._process.call_later(SYNC_SECONDS, self._persisted, effect.record)

    def _peer_delta(self, peer: str, delta: Delta) -> None:
        self._perform(self.follower.on_peer_delta(peer, delta, self._process.now))

    def _persisted(self, record: FollowerRecord) -> None:
        self._disk.record = record
        self._perform(self.follower.on_persisted(self._process.now))
