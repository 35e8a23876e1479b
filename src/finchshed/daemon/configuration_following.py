"""Performs the effects of the configuration follower: fetches, records, and putting in force."""

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

from loguru import logger

from finchshed.common.errors import CorruptRecordError, StorageError
from finchshed.daemon import metrics
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.peers import PeerLinks
from finchshed.distribution.client import ControlClient
from finchshed.distribution.effects import (
    FetchFromControl,
    FetchFromPeer,
    FollowerEffect,
    FollowerRecord,
    GreetPeers,
    Persist,
    ReportInForce,
    StartServing,
    TakeEffect,
)
from finchshed.distribution.follower import Follower, FollowerIdentity
from finchshed.distribution.messages import Delta
from finchshed.distribution.record import RecordFile


class ConfigurationOwner(Protocol):
    """What is told of the configuration."""

    def configuration_in_force(self, catalogue: Catalogue) -> None:
        """Act on ``catalogue`` from now on."""

    def start_serving(self) -> None:
        """Calls may be taken from now on."""


class ConfigurationFollowing:
    """The follower with its surroundings.

    Parameters
    ----------
    data_folder
        Where the highest revision is kept; empty for nowhere.
    """

    def __init__(
        self, identity: FollowerIdentity, data_folder: str, owner: ConfigurationOwner
    ) -> None:
        self._owner = owner
        self._file = RecordFile(Path(data_folder)) if data_folder else None
        self._tasks: set[asyncio.Task[None]] = set()
        self.links: PeerLinks | None = None
        self.client: ControlClient | None = None
        self.follower = Follower(identity, self._file is not None, self._read())

    def start(self) -> None:
        """Begin with what the data folder holds."""
        self._perform(self.follower.start(time.monotonic()))

    def tick(self) -> None:
        """Let time pass."""
        self._perform(self.follower.tick(time.monotonic()))

    def on_control_connected(self) -> None:
        """A control node took the subscription."""
        self._perform(self.follower.on_control_connected(time.monotonic()))

    def on_control_lost(self) -> None:
        """The control node is gone."""
        self._perform(self.follower.on_control_lost(time.monotonic()))

    def on_control_delta(self, delta: Delta) -> None:
        """Take a delta from control."""
        self._perform(self.follower.on_control_delta(delta, time.monotonic()))

    def on_peer_delta(self, peer: str, delta: Delta) -> None:
        """Take a delta from another daemon."""
        self._perform(self.follower.on_peer_delta(peer, delta, time.monotonic()))

    def on_peer_revision(self, peer: str, revision: int) -> None:
        """Note the revision another daemon holds."""
        self._perform(self.follower.on_peer_revision(peer, revision, time.monotonic()))

    def _read(self) -> FollowerRecord | None:
        if self._file is None:
            return None
        try:
            return self._file.read()
        except CorruptRecordError as error:
            logger.error("starting without the recorded revision: {}", error)
            return None

    def _perform(self, effects: Sequence[FollowerEffect]) -> None:
        for effect in effects:
            self._perform_one(effect)

    def _perform_one(self, effect: FollowerEffect) -> None:
        if isinstance(effect, TakeEffect):
            configuration = effect.current
            metrics.REVISION.set(configuration.revision)
            self._owner.configuration_in_force(Catalogue(configuration.resources.values()))
        elif isinstance(effect, ReportInForce) and self.client is not None:
            self.client.report_in_force(effect.revision)
        elif isinstance(effect, StartServing):
            logger.info("taking calls, on the ground of {}", effect.ground)
            metrics.SERVING.set(1)
            self._owner.start_serving()
        elif isinstance(effect, FetchFromControl) and self.client is not None:
            self.client.fetch(effect.revision)
        elif isinstance(effect, FetchFromPeer) and self.links is not None:
            self.links.fetch(effect.peer, effect.revision)
        elif isinstance(effect, GreetPeers) and self.links is not None:
            self.links.greet(effect.endpoints)
        elif isinstance(effect, Persist):
            self._persist(effect.record)

    def _persist(self, record: FollowerRecord) -> None:
        file = self._file
        if file is None:
            return

        async def write() -> None:
            now = time.monotonic
            try:
                await asyncio.to_thread(file.write, record)
            except StorageError as error:
                logger.error("the revision can't be recorded: {}", error)
                self._perform(self.follower.on_persist_failed(now()))
            else:
                self._perform(self.follower.on_persisted(now()))

        task = asyncio.get_running_loop().create_task(write())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
