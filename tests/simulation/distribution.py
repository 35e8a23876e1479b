"""Simulated configuration distribution with real hubs, followers and address books.

Consensus is assumed: there is one list of accepted changes.
"""

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import simpy

from finchshed.configuration.resources import Endpoint, Resource
from finchshed.distribution.addresses import AddressBook, ControlAddress
from finchshed.distribution.effects import (
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
from finchshed.distribution.hub import Hub
from finchshed.distribution.hub_effects import Close, HubEffect, RequestConfirmation, SendLine
from finchshed.distribution.messages import Delta, Fetch, InForce, Redirect, Subscribe
from finchshed.distribution.snapshot import Configuration, apply_delta

ZONES = ("z1", "z2", "z3")
CONTROL_NODES = 5
QUORUM = 3
LINK_SECONDS = (0.0005, 0.05)
COMMIT_SECONDS = (0.005, 0.3)
HUB_TICK_SECONDS = 0.25
FOLLOWER_TICK_SECONDS = 0.5
SILENCE_SECONDS = 1.5
CONNECT_SECONDS = 0.75
HEARTBEAT_SECONDS = 1.0
DISK_SECONDS = (0.001, 0.2)


class ViolationError(AssertionError):
    """A checked property is violated."""


@dataclass
class Partitions:
    """Current network partitions."""

    zones: set[frozenset[str]] = field(default_factory=set)
    nodes: set[str] = field(default_factory=set)
    from_control: set[str] = field(default_factory=set)
    """Zones whose daemons reach no control node."""

    def separates(self, first: "Node", second: "Node") -> bool:
        """Return whether messages between two nodes are blocked."""
        if first.name in self.nodes or second.name in self.nodes:
            return True
        for node, other in ((first, second), (second, first)):
            if other.is_control and not node.is_control and node.zone in self.from_control:
                return True
        return first.zone != second.zone and frozenset((first.zone, second.zone)) in self.zones


@dataclass(eq=False)
class Node:
    """A daemon or control node."""

    name: str
    zone: str
    is_control: bool = False


class Simulation:
    """All nodes, with one simulated clock and one seed."""

    def __init__(self, seed: int, daemons: int = 9) -> None:
        self.env = simpy.Environment()
        self.rng = random.Random(seed)
        self.partitions = Partitions()
        self.accepted: list[Delta] = []
        self.bases: set[ServingBasis] = set()
        self.states = [Configuration()]
        self.control = [Control(self, f"c{n}", ZONES[n % len(ZONES)]) for n in range(CONTROL_NODES)]
        self.daemons = [
            Daemon(self, f"d{n}", ZONES[n % len(ZONES)], has_disk=n % 3 == 2 or n < 2)
            for n in range(daemons)
        ]
        self._names = itertools.count()

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run ``action`` after ``delay`` seconds."""
        event = self.env.timeout(delay)
        assert event.callbacks is not None
        event.callbacks.append(lambda _: action())

    def every(self, period: float, action: Callable[[], None]) -> None:
        """Run ``action`` every ``period`` seconds."""

        def again() -> None:
            action()
            self.after(period, again)

        self.after(self.rng.uniform(0.0, period), again)

    def in_contact(self, node: "Control") -> bool:
        """Return whether a control node reaches a quorum, itself included."""
        reached = [other for other in self.control if not self.partitions.separates(node, other)]
        return len(reached) >= QUORUM

    def accept(self) -> bool:
        """Accept a change, if any control node reaches a quorum; return whether it did."""
        if not any(self.in_contact(node) for node in self.control):
            return False
        revision = len(self.accepted) + 1
        puts: tuple[Resource, ...] = (self._changed_endpoint(revision),)
        if revision == 1:
            puts = tuple(self._endpoint(daemon, 1) for daemon in self.daemons)
        delta = Delta(revision - 1, revision, puts)
        self.accepted.append(delta)
        self.states.append(apply_delta(self.states[-1], delta))
        return True

    def _changed_endpoint(self, revision: int) -> Endpoint:
        return self._endpoint(self.daemons[revision % len(self.daemons)], revision)

    @staticmethod
    def _endpoint(daemon: "Daemon", slots: int) -> Endpoint:
        return Endpoint(daemon.name, "s", "r", daemon.zone, "127.0.0.1:1", slots)


class Control(Node):
    """A control node: the real hub over the simulated list of accepted changes."""

    def __init__(self, simulation: Simulation, name: str, zone: str) -> None:
        super().__init__(name, zone, is_control=True)
        self.simulation = simulation
        self.links: dict[int, Link] = {}
        self.numbers = itertools.count(1)
        self.hub = Hub(name)
        self.applied = 0
        simulation.every(HUB_TICK_SECONDS, self.tick)
        simulation.every(COMMIT_SECONDS[0], self.follow)

    def follow(self) -> None:
        """Learn of accepted changes after a delay, if in contact with a quorum."""
        target = len(self.simulation.accepted)
        if target > self.applied and self.simulation.in_contact(self):
            delay = self.simulation.rng.uniform(*COMMIT_SECONDS)
            self.simulation.after(delay, lambda: self.apply(target))

    def apply(self, target: int) -> None:
        """Pass accepted changes to the hub."""
        while self.applied < target:
            delta = self.simulation.accepted[self.applied]
            self.applied += 1
            self.perform(self.hub.on_committed(delta, self.simulation.env.now))

    def tick(self) -> None:
        """Run the periodic work of a control node."""
        now = self.simulation.env.now
        self.hub.set_alternatives(tuple(node.name for node in self.simulation.control))
        self.hub.on_quorum_contact(self.simulation.in_contact(self), now)
        self.perform(self.hub.tick(now))

    def restart(self) -> None:
        """Lose all links and restart from the applied changes."""
        for link in list(self.links.values()):
            link.close()
        self.hub = Hub(self.name)
        self.perform(
            self.hub.restore(self.simulation.states[self.applied], self.simulation.env.now)
        )

    def receive(self, link: "Link", message: object) -> None:
        """Handle a message from a daemon."""
        now = self.simulation.env.now
        if isinstance(message, Subscribe):
            self.links[link.number] = link
            self.perform(self.hub.subscribe(link.number, message, now))
        elif isinstance(message, InForce):
            self.hub.on_in_force(link.number, message.revision, now)
        elif isinstance(message, Fetch):
            self.perform(self.hub.on_fetch(link.number, message.revision, now))

    def on_closed(self, link: "Link") -> None:
        """Remove a closed link."""
        if self.links.pop(link.number, None) is not None:
            self.hub.unsubscribe(link.number)

    def set_full(self, link: "Link", is_full: bool) -> None:
        """Mark the send buffer of a daemon's connection as full or not."""
        if link.number in self.links:
            link.is_full = is_full
            self.perform(self.hub.on_buffer(link.number, is_full, self.simulation.env.now))

    def perform(self, effects: Sequence[HubEffect]) -> None:
        """Carry out the effects of the hub."""
        for effect in effects:
            if isinstance(effect, SendLine):
                for number in effect.subscribers:
                    if number not in self.links:
                        continue
                    if self.links[number].is_full:
                        raise ViolationError(f"{self.name} sent to a subscriber that is full")
                    self.links[number].send_down(effect.line.message)
            elif isinstance(effect, Close):
                if effect.subscriber in self.links:
                    self.links[effect.subscriber].close()
            elif isinstance(effect, RequestConfirmation):
                self.confirm(effect.ticket)

    def confirm(self, ticket: int) -> None:
        """Read from a quorum, apply the changes read, then confirm to the hub."""
        if not self.simulation.in_contact(self):
            return
        hub, latest = self.hub, len(self.simulation.accepted)

        def confirmed() -> None:
            if self.hub is hub:
                self.apply(latest)
                self.perform(hub.on_confirmed(ticket, self.simulation.env.now))

        self.simulation.after(self.simulation.rng.uniform(*COMMIT_SECONDS), confirmed)


class Link:
    """A connection between a daemon and a control node: ordered, delayed, silently partitioned."""

    def __init__(self, simulation: Simulation, daemon: "Daemon", control: Control) -> None:
        self.simulation = simulation
        self.daemon = daemon
        self.control = control
        self.number = next(control.numbers)
        self.is_open = True
        self.is_full = False
        self.accepted_at_subscription = 0
        self._last = {"up": 0.0, "down": 0.0}
        self._blocked: list[tuple[str, object]] = []

    def send_up(self, message: object) -> None:
        """Send to the control node."""
        self._send("up", message)

    def send_down(self, message: object) -> None:
        """Send to the daemon."""
        self._send("down", message)

    def close(self) -> None:
        """Close the connection; the daemon notices unless a partition separates it."""
        if not self.is_open:
            return
        self.is_open = False
        self.control.on_closed(self)
        self.daemon.on_closed(self)

    def release(self) -> None:
        """Deliver the messages that a partition blocked."""
        blocked, self._blocked = self._blocked, []
        for direction, message in blocked:
            self._send(direction, message)

    def _send(self, direction: str, message: object) -> None:
        if not self.is_open:
            return
        at = self.simulation.env.now + self.simulation.rng.uniform(*LINK_SECONDS)
        at = max(at, self._last[direction])
        self._last[direction] = at
        self.simulation.after(
            at - self.simulation.env.now, lambda: self._arrive(direction, message)
        )

    def _arrive(self, direction: str, message: object) -> None:
        if not self.is_open:
            return
        if self._blocked or self.simulation.partitions.separates(self.daemon, self.control):
            self._blocked.append((direction, message))
        elif direction == "up":
            if isinstance(message, Subscribe):
                self.accepted_at_subscription = len(self.simulation.accepted)
            self.control.receive(self, message)
        else:
            self.daemon.receive(self, message)


class Daemon(Node):
    """A daemon: the real follower and address book, and a disk that keeps synced data."""

    def __init__(self, simulation: Simulation, name: str, zone: str, has_disk: bool) -> None:
        super().__init__(name, zone)
        self.simulation = simulation
        self.has_disk = has_disk
        self.disk: FollowerRecord | None = None
        self.incarnation = 0
        self.ever_in_force = 0
        self.in_force_at: dict[int, float] = {}
        self.fetches = 0
        self.link: Link | None = None
        self.start()
        simulation.every(FOLLOWER_TICK_SECONDS, self.tick)
        simulation.every(HEARTBEAT_SECONDS, self.heartbeat)

    def start(self) -> None:
        """Start a new incarnation from the data on disk."""
        self.incarnation += 1
        addresses = [ControlAddress(node.name, node.zone) for node in self.simulation.control]
        self.book = AddressBook(addresses, self.zone, self.simulation.rng)
        self.follower = Follower(FollowerIdentity(self.zone, self.name), self.has_disk, self.disk)
        self.heard_at = self.simulation.env.now
        self.is_subscribed = False
        self.known_revisions: dict[str, int] = {}
        self.confirmed: int | None = None
        """Number of changes accepted when the subscription that a quorum confirmed was made."""
        self.perform(self.follower.start(self.simulation.env.now))
        self.connect()

    def restart(self) -> None:
        """Restart without the data that wasn't synced."""
        if self.link is not None:
            link, self.link = self.link, None
            link.close()
        self.start()

    def connect(self) -> None:
        """Connect to the control node selected by the address book."""
        incarnation = self.incarnation
        attempt = self.book.next_attempt(self.simulation.env.now)
        control = next(n for n in self.simulation.control if n.name == attempt.address.address)

        def opened() -> None:
            if incarnation != self.incarnation or self.link is not None:
                return
            if self.simulation.partitions.separates(self, control):
                self.simulation.after(CONNECT_SECONDS, lambda: ended(0.0))
                return
            self.heard_at = self.simulation.env.now
            self.link = Link(self.simulation, self, control)
            self.link.send_up(
                Subscribe(
                    self.name, str(self.incarnation), "s", self.zone, self.follower.held_revision
                )
            )

        def ended(duration: float) -> None:
            if incarnation == self.incarnation:
                self.book.on_connection_ended(attempt.address, duration, self.simulation.env.now)
                self.connect()

        self.opened_at = self.simulation.env.now + attempt.wait_seconds
        self.attempted = attempt.address
        self.simulation.after(attempt.wait_seconds, opened)

    def leave(self) -> None:
        """Close the connection and try another control node."""
        link, self.link = self.link, None
        if link is None:
            return
        link.is_open = False
        # The control node learns of it only if it can be reached.
        if not self.simulation.partitions.separates(self, link.control):
            link.control.on_closed(link)
        if self.is_subscribed:
            self.is_subscribed = False
            self.perform(self.follower.on_control_lost(self.simulation.env.now))
        now = self.simulation.env.now
        self.book.on_connection_ended(self.attempted, now - self.opened_at, now)
        self.connect()

    def on_closed(self, link: Link) -> None:
        """Handle the end of the connection, unless the control node can't be reached."""
        if link is self.link and not self.simulation.partitions.separates(self, link.control):
            self.leave()

    def receive(self, link: Link, message: object) -> None:
        """Handle a message from a control node."""
        if link is not self.link:
            return
        now = self.heard_at = self.simulation.env.now
        if isinstance(message, Redirect):
            self.leave()
        elif isinstance(message, Delta):
            if not self.is_subscribed:
                self.is_subscribed = True
                self.perform(self.follower.on_control_connected(now))
            if message.confirmed:
                self.confirmed = max(self.confirmed or 0, link.accepted_at_subscription)
            self.perform(self.follower.on_control_delta(message, now))

    def tick(self) -> None:
        """Run the periodic work of a daemon."""
        if self.link is not None and self.simulation.env.now - self.heard_at > SILENCE_SECONDS:
            self.leave()
        self.perform(self.follower.tick(self.simulation.env.now))

    def heartbeat(self) -> None:
        """Report the revision in force to control."""
        if self.link is not None and self.is_subscribed:
            self.link.send_up(InForce(self.follower.revision))

    def send_revision(self, peer: "Daemon", delay: float) -> None:
        """Send this daemon's revision to ``peer``, as with a call, after ``delay``."""
        revision, incarnation = self.follower.revision, peer.incarnation

        def received() -> None:
            if incarnation != peer.incarnation or self.simulation.partitions.separates(self, peer):
                return
            # A link announces each revision once.
            if revision > peer.known_revisions.get(self.name, -1):
                peer.known_revisions[self.name] = revision
                effects = peer.follower.on_peer_revision(
                    self.name, revision, self.simulation.env.now
                )
                peer.perform(effects)

        self.simulation.after(delay, received)

    def perform(self, effects: Sequence[FollowerEffect]) -> None:
        """Carry out and check the effects of the follower."""
        for effect in effects:
            if isinstance(effect, TakeEffect):
                self.check_effect(effect)
            elif isinstance(effect, StartServing):
                self.check_basis(effect.basis)
            elif isinstance(effect, ReportInForce):
                self.heartbeat()
            elif isinstance(effect, FetchFromControl):
                self.fetches += 1
                if self.link is not None:
                    self.link.send_up(Fetch(effect.revision))
            elif isinstance(effect, FetchFromPeer):
                self.fetches += 1
                self.fetch_from(effect.peer, effect.revision)
            elif isinstance(effect, PersistRecord):
                self.persist(effect.record)

    def fetch_from(self, name: str, revision: int) -> None:
        """Fetch from another daemon; the answer may be late or lost."""
        peer = next((daemon for daemon in self.simulation.daemons if daemon.name == name), None)
        if (
            peer is None
            or self.simulation.partitions.separates(self, peer)
            or self.simulation.rng.random() < 0.2
        ):
            return
        delta, incarnation = peer.follower.answer_fetch(revision), self.incarnation

        def arrived() -> None:
            if incarnation == self.incarnation:
                self.perform(self.follower.on_peer_delta(name, delta, self.simulation.env.now))

        self.simulation.after(self.simulation.rng.uniform(0.001, 1.5), arrived)

    def persist(self, record: FollowerRecord) -> None:
        """Sync a record to disk; a restart before that loses it."""
        incarnation = self.incarnation

        def synced() -> None:
            if incarnation == self.incarnation:
                self.disk = record
                self.perform(self.follower.on_persisted(self.simulation.env.now))

        self.simulation.after(self.simulation.rng.uniform(*DISK_SECONDS), synced)

    def check_effect(self, effect: TakeEffect) -> None:
        """Check a configuration that takes effect."""
        revision = effect.current.revision
        if revision < effect.previous.revision:
            raise ViolationError(f"{self.name} went back to {revision}")
        if effect.current.resources != self.simulation.states[revision].resources:
            raise ViolationError(f"{self.name} holds something else than revision {revision}")
        if self.has_disk and revision < self.ever_in_force:
            raise ViolationError(f"{self.name} came back to {revision} from its disk")
        self.ever_in_force = max(self.ever_in_force, revision)
        self.in_force_at[revision] = self.simulation.env.now

    def check_basis(self, basis: ServingBasis) -> None:
        """Check that the daemon may start serving."""
        self.simulation.bases.add(basis)
        revision = self.follower.revision
        if revision < self.ever_in_force:
            raise ViolationError(f"{self.name} serves on {revision}, had {self.ever_in_force}")
        if basis is not ServingBasis.QUORUM:
            return
        if self.confirmed is None:
            raise ViolationError(f"{self.name} serves, and no quorum confirmed anything")
        if revision < self.confirmed:
            raise ViolationError(f"{self.name} serves on {revision} of {self.confirmed} accepted")
