"""Runs a daemon's follower: joins its decisions, the connection to control and the data folder.

Owns all three. A daemon makes one, runs it, hands it what peers report, and is called with what to
act on.
"""

import asyncio
import random
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Protocol

from loguru import logger

from finchshed.common.errors import StorageError
from finchshed.configuration.resources import Endpoint
from finchshed.distribution.addresses import ControlAddress
from finchshed.distribution.client import ControlClient
from finchshed.distribution.client_handlers import ClientHandlers
from finchshed.distribution.control_dialer import Connect
from finchshed.distribution.effects import (
    FetchFromControl,
    FetchFromPeer,
    FollowerEffect,
    FollowerRecord,
    GreetPeers,
    PersistRecord,
    ReportInForce,
    ServingBasis,
    StartServing,
    TakeEffect,
)
from finchshed.distribution.follower import Follower, FollowerIdentity
from finchshed.distribution.identity import ClientIdentity
from finchshed.distribution.messages import Delta
from finchshed.distribution.record import RecordFile
from finchshed.distribution.snapshot import Configuration
from finchshed.runtime import clock

TICK_SECONDS = 0.5
"""Time between ticks of the follower, half of the pause between fetches. Chosen, not measured."""


class FollowerListener(Protocol):
    """What a daemon does when its follower asks for it. Called on the event loop."""

    def take_effect(self, previous: Configuration, current: Configuration) -> None:
        """Act on ``current`` from now on."""

    def start_serving(self, basis: ServingBasis) -> None:
        """Take calls from now on."""

    def fetch_from_peer(self, peer: str, revision: int) -> None:
        """Send ``Fetch(revision)`` on the link to ``peer``, if there is one."""

    def greet_peers(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Open links to these endpoints."""


class FollowerRunner:
    """Runs a follower.

    Parameters
    ----------
    identity
        Who the daemon is.
    addresses
        Control nodes of the settings; at least one.
    listener
        The daemon.
    rng
        Source of order and jitter.
    data_folder
        Where the highest revision is kept, or None without a disk.
    connect
        Opens connections to control nodes; None: the event loop does.
    """

    def __init__(
        self,
        identity: ClientIdentity,
        addresses: Iterable[ControlAddress],
        listener: FollowerListener,
        rng: random.Random,
        data_folder: Path | None = None,
        *,
        connect: Connect | None = None,
    ) -> None:
        self._listener = listener
        self._file = None if data_folder is None else RecordFile(data_folder)
        self.follower = Follower(
            FollowerIdentity(identity.zone, identity.endpoint),
            has_disk=self._file is not None,
            record=self._read_record(),
        )
        handlers = ClientHandlers(
            on_delta=self._on_control_delta,
            on_connected=self._on_connected,
            on_disconnected=self._on_lost,
            revision_held=lambda: self.follower.held_revision,
            revision_in_force=lambda: self.follower.revision,
        )
        self.client = ControlClient(identity, addresses, handlers, rng, connect)
        self._writing: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        self._perform(self.follower.start(_now()))
        connecting = asyncio.create_task(self.client.run())
        try:
            while True:
                await asyncio.sleep(TICK_SECONDS)
                if connecting.done():
                    connecting.result()
                self._perform(self.follower.tick(_now()))
        finally:
            connecting.cancel()
            if self._writing is not None:
                self._writing.cancel()

    def on_peer_revision(self, peer: str, revision: int) -> None:
        """Note the revision on a message of ``peer``: an endpoint's name where it is known."""
        effects = self.follower.on_peer_revision(peer, revision, _now())
        if effects:
            self._perform(effects)

    def on_peer_delta(self, peer: str, delta: Delta) -> None:
        """Take what ``peer`` answered to a fetch."""
        self._perform(self.follower.on_peer_delta(peer, delta, _now()))

    def _read_record(self) -> FollowerRecord | None:
        if self._file is None:
            return None
        try:
            return self._file.read()
        except StorageError as error:
            logger.error("starting as without a disk: {}", error)
            return None

    def _on_control_delta(self, delta: Delta) -> None:
        self._perform(self.follower.on_control_delta(delta, _now()))

    def _on_connected(self) -> None:
        self._perform(self.follower.on_control_connected(_now()))

    def _on_lost(self) -> None:
        self._perform(self.follower.on_control_lost(_now()))

    def _perform(self, effects: Sequence[FollowerEffect]) -> None:
        for effect in effects:
            self._perform_one(effect)

    def _perform_one(self, effect: FollowerEffect) -> None:
        match effect:
            case TakeEffect(previous, current):
                self._listener.take_effect(previous, current)
            case ReportInForce(revision):
                self.client.report_in_force(revision)
            case FetchFromControl(revision):
                self.client.fetch(revision)
            case FetchFromPeer(peer, revision):
                self._listener.fetch_from_peer(peer, revision)
            case GreetPeers(endpoints):
                self._listener.greet_peers(endpoints)
            case StartServing(basis):
                self._listener.start_serving(basis)
            case PersistRecord(record):
                self._writing = asyncio.create_task(self._write(record))

    async def _write(self, record: FollowerRecord) -> None:
        assert self._file is not None
        try:
            await asyncio.to_thread(self._file.write, record)
        except StorageError as error:
            logger.error("going on without a disk: {}", error)
            self._perform(self.follower.on_persist_failed(_now()))
            return
        self._perform(self.follower.on_persisted(_now()))


def _now() -> float:
    return clock.now()
