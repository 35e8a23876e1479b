"""Follows the committed configuration at a daemon and decides when calls may be accepted.

No I/O and no clock. Owns the configuration in force at the daemon, which never goes back to an
earlier revision.

A revision comes into force in three steps. It is *held* once an applicable delta has been applied,
*recorded* once it is synced to the data folder (skipped without one), and then *in force*. Because
recording comes first, a restarted daemon never resumes with an older revision than it acted on.

:mod:`finchshed.distribution.follower_runner` executes the effects.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from finchshed.configuration.resources import Endpoint
from finchshed.distribution.delta_history import DeltaHistory
from finchshed.distribution.effects import (
    ConnectToPeers,
    FollowerEffect,
    FollowerRecord,
    PersistRecord,
    ReportInForce,
    ServingBasis,
    StartServing,
    TakeEffect,
)
from finchshed.distribution.fetch_scheduler import FetchScheduler
from finchshed.distribution.messages import Delta
from finchshed.distribution.peer_revisions import PeerRevisions
from finchshed.distribution.snapshot import (
    Configuration,
    apply_delta,
    empty_delta,
    full_delta,
    is_applicable,
)

CONTROL_GRACE_SECONDS = 2.0
"""Time after start during which only control, not disk and peers, can enable serving."""

HISTORY_CHANGES = 64
"""Number of changes kept for peers. Peers further behind receive the full configuration."""

NO_EFFECTS: tuple[FollowerEffect, ...] = ()


@dataclass(frozen=True, slots=True)
class FollowerIdentity:
    """Zone and endpoint of the daemon; ``endpoint`` is empty on an edge."""

    zone: str
    endpoint: str = ""


class Follower:
    """Follows the committed configuration.

    Parameters
    ----------
    identity
        Zone and endpoint of the daemon; its peers are the other endpoints of the zone.
    has_disk
        Whether revisions are recorded in a data folder before they come into force.
    record
        Record read from the data folder at start, if any.
    """

    def __init__(
        self,
        identity: FollowerIdentity,
        has_disk: bool = False,
        record: FollowerRecord | None = None,
    ) -> None:
        self._identity = identity
        self._has_disk = has_disk
        self._disk_failed = False
        self._in_force = Configuration()
        self._held = self._in_force
        self._history = DeltaHistory(HISTORY_CHANGES)
        self._holds_any = False
        self._started_from_disk = False
        self._started_at = 0.0
        self._highest_seen = 0
        self._confirmed_revision: int | None = None
        self._basis = ServingBasis.NONE
        self._control_connected = False
        self._peers = PeerRevisions()
        self._fetches = FetchScheduler(self._peers)
        self._recording: Configuration | None = None
        self._recorded_highest = -1
        if record is not None:
            self._load(record)

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._in_force

    @property
    def revision(self) -> int:
        """Revision in force, as reported to control nodes and peers."""
        return self._in_force.revision

    @property
    def held_revision(self) -> int:
        """Revision held, at least the one in force. Subscriptions start from it."""
        return self._held.revision

    @property
    def highest_seen(self) -> int:
        """Highest revision reported by any node, including before a restart if recorded."""
        return self._highest_seen

    @property
    def may_serve(self) -> bool:
        """Whether calls may be accepted. Once true, it stays true until the process ends."""
        return self._basis is not ServingBasis.NONE

    @property
    def disk_failed(self) -> bool:
        """Whether writing a record to the data folder has failed."""
        return self._disk_failed

    def start(self, now: float) -> Sequence[FollowerEffect]:
        """Start; with a record, put it into force at once and contact the peers of the zone."""
        self._started_at = now
        if not self._started_from_disk:
            return NO_EFFECTS
        effects: list[FollowerEffect] = [TakeEffect(Configuration(), self._in_force)]
        peers = self._zone_peers()
        if peers:
            effects.append(ConnectToPeers(peers))
        effects.extend(self._next_effects(now))
        return effects

    def on_control_connected(self, now: float) -> Sequence[FollowerEffect]:
        """Handle an accepted subscription."""
        self._control_connected = True
        self._fetches.postpone(now)
        return NO_EFFECTS

    def on_control_lost(self, now: float) -> Sequence[FollowerEffect]:
        """Handle the loss of the connection to control."""
        self._control_connected = False
        self._fetches.fetch_now(now)
        return self._next_effects(now)

    def on_control_delta(self, delta: Delta, now: float) -> Sequence[FollowerEffect]:
        """Apply a delta from the connected control node."""
        if delta.confirmed:
            self._confirmed_revision = max(self._confirmed_revision or 0, delta.revision)
        return self._on_delta(delta, now)

    def on_peer_delta(self, peer: str, delta: Delta, now: float) -> Sequence[FollowerEffect]:
        """Apply a delta from another daemon, ignoring its ``confirmed`` flag."""
        self._peers.record(peer, delta.revision)
        return self._on_delta(delta, now)

    def on_peer_revision(self, peer: str, revision: int, now: float) -> Sequence[FollowerEffect]:
        """Handle the revision carried by a call, an answer or a heartbeat of ``peer``."""
        if revision <= self._held.revision and self.may_serve:
            return NO_EFFECTS
        self._peers.record(peer, revision)
        if revision > self._highest_seen:
            self._highest_seen = revision
            self._fetches.fetch_now(now)
        return self._next_effects(now)

    def on_persisted(self, now: float) -> Sequence[FollowerEffect]:
        """Put the recorded revision into force, and record any newer one."""
        recorded = self._recording
        self._recording = None
        if recorded is None:
            return NO_EFFECTS
        return [*self._take_effect(recorded), *self._next_effects(now)]

    def on_persist_failed(self, now: float) -> Sequence[FollowerEffect]:
        """Continue without the disk. The next restart then needs a quorum to serve."""
        self._disk_failed = True
        self._recording = None
        return self._next_effects(now)

    def tick(self, now: float) -> Sequence[FollowerEffect]:
        """Repeat an unanswered fetch. Call about every half second."""
        return self._next_effects(now)

    def answer_fetch(self, revision: int) -> Delta:
        """Return the delta that brings a peer from ``revision`` to the revision in force here."""
        if revision >= self._in_force.revision:
            return empty_delta(self._in_force.revision)
        return self._history.between(revision, self._in_force)

    def _load(self, record: FollowerRecord) -> None:
        self._highest_seen = record.highest_seen
        self._recorded_highest = record.highest_seen
        if record.configuration is None:
            return
        self._held = apply_delta(Configuration(), record.configuration)
        self._in_force = self._held
        self._holds_any = True
        self._started_from_disk = True
        self._highest_seen = max(self._highest_seen, self._held.revision)

    def _on_delta(self, delta: Delta, now: float) -> Sequence[FollowerEffect]:
        if delta.revision > self._highest_seen:
            self._highest_seen = delta.revision
            self._fetches.fetch_now(now)
        first = not self._holds_any and delta.base == 0
        newer = delta.revision > self._held.revision
        if (first or newer) and is_applicable(delta, self._held.revision):
            self._held = apply_delta(self._held, delta)
            self._history.append(delta)
            self._holds_any = True
        return self._next_effects(now)

    def _next_effects(self, now: float) -> list[FollowerEffect]:
        """Return the effects due in the current state."""
        effects: list[FollowerEffect] = []
        effects.extend(self._record_or_take_effect())
        effects.extend(self._start_serving(now))
        effects.extend(self._fetch(now))
        return effects

    def _record_or_take_effect(self) -> list[FollowerEffect]:
        advanced = self._held is not self._in_force and self._holds_any
        if not self._has_disk or self._disk_failed:
            return self._take_effect(self._held) if advanced else []
        if self._recording is not None:
            return []
        if not advanced and self._recorded_highest >= self._highest_seen:
            return []
        self._recording = self._held
        self._recorded_highest = self._highest_seen
        configuration = full_delta(self._held) if self._holds_any else None
        return [PersistRecord(FollowerRecord(self._highest_seen, configuration))]

    def _take_effect(self, configuration: Configuration) -> list[FollowerEffect]:
        previous = self._in_force
        if configuration is previous:
            return []
        self._in_force = configuration
        return [TakeEffect(previous, configuration), ReportInForce(configuration.revision)]

    def _start_serving(self, now: float) -> list[FollowerEffect]:
        if self.may_serve:
            return []
        basis = self._find_basis(now)
        if basis is ServingBasis.NONE:
            return []
        self._basis = basis
        self._peers.clear()
        return [StartServing(basis)]

    def _find_basis(self, now: float) -> ServingBasis:
        in_force = self._in_force.revision
        if not self._holds_any or self._in_force is not self._held:
            return ServingBasis.NONE
        if in_force < self._highest_seen:
            return ServingBasis.NONE
        if self._confirmed_revision is not None and in_force >= self._confirmed_revision:
            return ServingBasis.QUORUM
        # Peers may lag behind a quorum, so they are only trusted without a control connection.
        without_control = (
            not self._control_connected and now - self._started_at >= CONTROL_GRACE_SECONDS
        )
        if self._started_from_disk and without_control and self._majority_of_peers_reported():
            return ServingBasis.DISK_AND_PEERS
        return ServingBasis.NONE

    def _majority_of_peers_reported(self) -> bool:
        names = [endpoint.name for endpoint in self._zone_peers()]
        return 2 * self._peers.count_reported(names) > len(names) or not names

    def _zone_peers(self) -> tuple[Endpoint, ...]:
        zone, own = self._identity.zone, self._identity.endpoint
        return tuple(
            endpoint
            for endpoint in self._in_force.endpoints()
            if endpoint.zone == zone and endpoint.name != own
        )

    def _fetch(self, now: float) -> list[FollowerEffect]:
        held = self._held.revision
        if held < self._highest_seen:
            fetch = self._fetches.next_fetch(held, self._control_connected, now)
            return [] if fetch is None else [fetch]
        self._fetches.on_up_to_date()
        if self.may_serve:
            self._peers.clear()
        return []
