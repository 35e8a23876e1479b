"""Runs a daemon's follower and executes its effects.

Owns the follower, the connection to control and the data folder's record. The daemon passes in the
revisions and deltas of peers, and receives effects through :class:`FollowerListener`.
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
    ConnectToPeers,
    FetchFromControl,
    FetchFromPeer,
    FollowerEffect,
    FollowerRecord,
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
"""Interval between ticks of the follower, half of the fetch retry time."""


class FollowerListener(Protocol):
    """Effects that the daemon executes for its follower. Called on the event loop."""

    def take_effect(self, previous: Configuration, current: Configuration) -> None:
        """Replace the configuration in force by ``current``."""

    def start_serving(self, basis: ServingBasis) -> None:
        """Start accepting calls."""

    def fetch_from_peer(self, peer: str, revision: int) -> None:
        """Send ``Fetch(revision)`` on the link to ``peer``, if there is one."""

    def connect_to_peers(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Open links to these endpoints."""


class FollowerRunner:
    """Runs a follower until cancelled.

    Parameters
    ----------
    identity
        Identity of the daemon.
    addresses
        Control nodes from the settings; at least one.
    listener
        The daemon.
    rng
        Randomness for the order of nodes and for jitter.
    data_folder
        Folder for the follower's record, or None to run without a disk.
    connect
        Opens connections to control nodes; None to use the event loop.
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
            on_disconnected=self._on_disconnected,
            revision_held=lambda: self.follower.held_revision,
            revision_in_force=lambda: self.follower.revision,
        )
        self.client = ControlClient(identity, addresses, handlers, rng, connect)
        self._writing: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Run the follower and its control connection until cancelled."""
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
        """Handle the revision carried by a message of ``peer``, an endpoint name if known."""
        effects = self.follower.on_peer_revision(peer, revision, _now())
        if effects:
            self._perform(effects)

    def on_peer_delta(self, peer: str, delta: Delta) -> None:
        """Handle the delta that ``peer`` sent in answer to a fetch."""
        self._perform(self.follower.on_peer_delta(peer, delta, _now()))

    def _read_record(self) -> FollowerRecord | None:
        if self._file is None:
            return None
        try:
            return self._file.read()
        except StorageError as error:
            logger.error("can't read the configuration record, starting without it: {}", error)
            return None

    def _on_control_delta(self, delta: Delta) -> None:
        self._perform(self.follower.on_control_delta(delta, _now()))

    def _on_connected(self) -> None:
        self._perform(self.follower.on_control_connected(_now()))

    def _on_disconnected(self) -> None:
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
            case ConnectToPeers(endpoints):
                self._listener.connect_to_peers(endpoints)
            case StartServing(basis):
                self._listener.start_serving(basis)
            case PersistRecord(record):
                self._writing = asyncio.create_task(self._write(record))

    async def _write(self, record: FollowerRecord) -> None:
        assert self._file is not None
        try:
            await asyncio.to_thread(self._file.write, record)
        except StorageError as error:
            logger.error("can't write the configuration record, continuing without it: {}", error)
            self._perform(self.follower.on_persist_failed(_now()))
            return
        self._perform(self.follower.on_persisted(_now()))


def _now() -> float:
    return clock.now()
