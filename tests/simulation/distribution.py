"""A simulated distribution: real hubs, followers and address books; simulated links and faults.

Agreement between control nodes is taken as given: there is one list of accepted changes, a node
in contact with a quorum learns of them after a delay, and its confirmations are right. Everything
between that list and the daemons is what is tested.
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
    """A property doesn't hold."""


@dataclass
class Cuts:
    """Zones that nothing passes between, and pairs of daemons and control nodes cut off."""

    zones: set[frozenset[str]] = field(default_factory=set)
    nodes: set[str] = field(default_factory=set)
    from_control: set[str] = field(default_factory=set)
    """Zones whose daemons reach no control node."""

    def between(self, first: "Node", second: "Node") -> bool:
        """Whether nothing passes between two nodes."""
        if first.name in self.nodes or second.name in self.nodes:
            return True
        for node, other in ((first, second), (second, first)):
            if other.is_control and not node.is_control and node.zone in self.from_control:
                return True
        return first.zone != second.zone and frozenset((first.zone, second.zone)) in self.zones


@dataclass(eq=False)
class Node:
    """Anything that links end at."""

    name: str
    zone: str
    is_control: bool = False


class World:
    """All nodes, one clock, one seed."""

    def __init__(self, seed: int, daemons: int = 9) -> None:
        self.env = simpy.Environment()
        self.rng = random.Random(seed)
        self.cuts = Cuts()
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
        """Run ``action`` each ``period`` seconds."""

        def again() -> None:
            action()
            self.after(period, again)

        self.after(self.rng.uniform(0.0, period), again)

    def in_contact(self, node: "Control") -> bool:
        """Whether a control node reaches a quorum, itself counted."""
        reached = [other for other in self.control if not self.cuts.between(node, other)]
        return len(reached) >= QUORUM

    def accept(self) -> bool:
        """Accept a change, if any control node reaches a quorum."""
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
    """A control node: the real hub over the world's list of accepted changes."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        super().__init__(name, zone, is_control=True)
        self.world = world
        self.links: dict[int, Link] = {}
        self.numbers = itertools.count(1)
        self.hub = Hub(name)
        self.applied = 0
        world.every(HUB_TICK_SECONDS, self.tick)
        world.every(COMMIT_SECONDS[0], self.follow)

    def follow(self) -> None:
        """Learn of accepted changes, after a while, when in contact with a quorum."""
        target = len(self.world.accepted)
        if target > self.applied and self.world.in_contact(self):
            delay = self.world.rng.uniform(*COMMIT_SECONDS)
            self.world.after(delay, lambda: self.apply(target))

    def apply(self, target: int) -> None:
        """Hand accepted changes to the hub."""
        while self.applied < target:
            delta = self.world.accepted[self.applied]
            self.applied += 1
            self.perform(self.hub.on_committed(delta, self.world.env.now))

    def tick(self) -> None:
        """Do what a control node does now and then."""
        now = self.world.env.now
        self.hub.set_alternatives(tuple(node.name for node in self.world.control))
        self.hub.on_quorum_contact(self.world.in_contact(self), now)
        self.perform(self.hub.tick(now))

    def restart(self) -> None:
        """Lose all links and begin anew from what is applied."""
        for link in list(self.links.values()):
            link.close()
        self.hub = Hub(self.name)
        self.perform(self.hub.restore(self.world.states[self.applied], self.world.env.now))

    def receive(self, link: "Link", message: object) -> None:
        """Take a daemon's message."""
        now = self.world.env.now
        if isinstance(message, Subscribe):
            self.links[link.number] = link
            self.perform(self.hub.subscribe(link.number, message, now))
        elif isinstance(message, InForce):
            self.hub.on_in_force(link.number, message.revision, now)
        elif isinstance(message, Fetch):
            self.perform(self.hub.on_fetch(link.number, message.revision, now))

    def lost(self, link: "Link") -> None:
        """Forget a link."""
        if self.links.pop(link.number, None) is not None:
            self.hub.unsubscribe(link.number)

    def set_full(self, link: "Link", is_full: bool) -> None:
        """Have a daemon's connection take no more, or again."""
        if link.number in self.links:
            link.is_full = is_full
            self.perform(self.hub.on_buffer(link.number, is_full, self.world.env.now))

    def perform(self, effects: Sequence[HubEffect]) -> None:
        """Carry the hub's effects out."""
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
        """Read from a quorum, apply up to there, then tell the hub."""
        if not self.world.in_contact(self):
            return
        hub, latest = self.hub, len(self.world.accepted)

        def confirmed() -> None:
            if self.hub is hub:
                self.apply(latest)
                self.perform(hub.on_confirmed(ticket, self.world.env.now))

        self.world.after(self.world.rng.uniform(*COMMIT_SECONDS), confirmed)


class Link:
    """One connection between a daemon and a control node: in order, late, cut in silence."""

    def __init__(self, world: World, daemon: "Daemon", control: Control) -> None:
        self.world = world
        self.daemon = daemon
        self.control = control
        self.number = next(control.numbers)
        self.is_open = True
        self.is_full = False
        self.accepted_at_subscription = 0
        self._last = {"up": 0.0, "down": 0.0}
        self._held: list[tuple[str, object]] = []

    def send_up(self, message: object) -> None:
        """Send to the control node."""
        self._send("up", message)

    def send_down(self, message: object) -> None:
        """Send to the daemon."""
        self._send("down", message)

    def close(self) -> None:
        """End the connection; the other end learns of it unless it is cut off."""
        if not self.is_open:
            return
        self.is_open = False
        self.control.lost(self)
        self.daemon.lost(self)

    def release(self) -> None:
        """Let what a cut held go on."""
        held, self._held = self._held, []
        for way, message in held:
            self._send(way, message)

    def _send(self, way: str, message: object) -> None:
        if not self.is_open:
            return
        at = self.world.env.now + self.world.rng.uniform(*LINK_SECONDS)
        at = max(at, self._last[way])
        self._last[way] = at
        self.world.after(at - self.world.env.now, lambda: self._arrive(way, message))

    def _arrive(self, way: str, message: object) -> None:
        if not self.is_open:
            return
        if self._held or self.world.cuts.between(self.daemon, self.control):
            self._held.append((way, message))
        elif way == "up":
            if isinstance(message, Subscribe):
                self.accepted_at_subscription = len(self.world.accepted)
            self.control.receive(self, message)
        else:
            self.daemon.receive(self, message)


class Daemon(Node):
    """A daemon: the real follower and address book, and a disk that keeps what was synced."""

    def __init__(self, world: World, name: str, zone: str, has_disk: bool) -> None:
        super().__init__(name, zone)
        self.world = world
        self.has_disk = has_disk
        self.disk: FollowerRecord | None = None
        self.life = 0
        self.ever_in_force = 0
        self.in_force_at: dict[int, float] = {}
        self.fetches = 0
        self.link: Link | None = None
        self.start()
        world.every(FOLLOWER_TICK_SECONDS, self.tick)
        world.every(HEARTBEAT_SECONDS, self.heartbeat)

    def start(self) -> None:
        """Begin a life, with what the disk holds."""
        self.life += 1
        addresses = [ControlAddress(node.name, node.zone) for node in self.world.control]
        self.book = AddressBook(addresses, self.zone, self.world.rng)
        self.follower = Follower(FollowerIdentity(self.zone, self.name), self.has_disk, self.disk)
        self.heard_at = self.world.env.now
        self.is_subscribed = False
        self.told_by: dict[str, int] = {}
        self.confirmed: int | None = None
        """What was accepted when the daemon made the subscription a quorum confirmed."""
        self.perform(self.follower.start(self.world.env.now))
        self.connect()

    def restart(self) -> None:
        """Lose everything that isn't synced."""
        if self.link is not None:
            link, self.link = self.link, None
            link.close()
        self.start()

    def connect(self) -> None:
        """Connect to the control node the address book names."""
        life = self.life
        attempt = self.book.next_attempt(self.world.env.now)
        control = next(n for n in self.world.control if n.name == attempt.address.address)

        def opened() -> None:
            if life != self.life or self.link is not None:
                return
            if self.world.cuts.between(self, control):
                self.world.after(CONNECT_SECONDS, lambda: ended(0.0))
                return
            self.heard_at = self.world.env.now
            self.link = Link(self.world, self, control)
            self.link.send_up(
                Subscribe(self.name, str(self.life), "s", self.zone, self.follower.held_revision)
            )

        def ended(lived: float) -> None:
            if life == self.life:
                self.book.on_connection_ended(attempt.address, lived, self.world.env.now)
                self.connect()

        self.opened_at = self.world.env.now + attempt.wait_seconds
        self.attempted = attempt.address
        self.world.after(attempt.wait_seconds, opened)

    def leave(self) -> None:
        """Give the connection up and try another control node."""
        link, self.link = self.link, None
        if link is None:
            return
        link.is_open = False
        # The control node hears of the end only if it can be reached.
        if not self.world.cuts.between(self, link.control):
            link.control.lost(link)
        if self.is_subscribed:
            self.is_subscribed = False
            self.perform(self.follower.on_control_lost(self.world.env.now))
        now = self.world.env.now
        self.book.on_connection_ended(self.attempted, now - self.opened_at, now)
        self.connect()

    def lost(self, link: Link) -> None:
        """Note that the other end closed the connection."""
        if link is self.link and not self.world.cuts.between(self, link.control):
            self.leave()

    def receive(self, link: Link, message: object) -> None:
        """Take a control node's message."""
        if link is not self.link:
            return
        now = self.heard_at = self.world.env.now
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
        """Do what a daemon does twice a second."""
        if self.link is not None and self.world.env.now - self.heard_at > SILENCE_SECONDS:
            self.leave()
        self.perform(self.follower.tick(self.world.env.now))

    def heartbeat(self) -> None:
        """Tell control which revision is in force."""
        if self.link is not None and self.is_subscribed:
            self.link.send_up(InForce(self.follower.revision))

    def meet(self, peer: "Daemon", delay: float) -> None:
        """Have ``peer`` hear this daemon's revision, as with a call, after ``delay``."""
        revision, life = self.follower.revision, peer.life

        def heard() -> None:
            if life != peer.life or self.world.cuts.between(self, peer):
                return
            # A link tells a revision once.
            if revision > peer.told_by.get(self.name, -1):
                peer.told_by[self.name] = revision
                effects = peer.follower.on_peer_revision(self.name, revision, self.world.env.now)
                peer.perform(effects)

        self.world.after(delay, heard)

    def perform(self, effects: Sequence[FollowerEffect]) -> None:
        """Carry the follower's effects out, and check each."""
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
        """Ask another daemon; its answer may come late, or not at all."""
        peer = next((daemon for daemon in self.world.daemons if daemon.name == name), None)
        if peer is None or self.world.cuts.between(self, peer) or self.world.rng.random() < 0.2:
            return
        delta, life = peer.follower.answer_fetch(revision), self.life

        def arrived() -> None:
            if life == self.life:
                self.perform(self.follower.on_peer_delta(name, delta, self.world.env.now))

        self.world.after(self.world.rng.uniform(0.001, 1.5), arrived)

    def persist(self, record: FollowerRecord) -> None:
        """Sync a record; a restart meanwhile loses it."""
        life = self.life

        def synced() -> None:
            if life == self.life:
                self.disk = record
                self.perform(self.follower.on_persisted(self.world.env.now))

        self.world.after(self.world.rng.uniform(*DISK_SECONDS), synced)

    def check_effect(self, effect: TakeEffect) -> None:
        """Check what comes into force."""
        revision = effect.current.revision
        if revision < effect.previous.revision:
            raise ViolationError(f"{self.name} went back to {revision}")
        if effect.current.resources != self.world.states[revision].resources:
            raise ViolationError(f"{self.name} holds something else than revision {revision}")
        if self.has_disk and revision < self.ever_in_force:
            raise ViolationError(f"{self.name} came back to {revision} from its disk")
        self.ever_in_force = max(self.ever_in_force, revision)
        self.in_force_at[revision] = self.world.env.now

    def check_basis(self, basis: ServingBasis) -> None:
        """Check that calls may be taken."""
        self.world.bases.add(basis)
        revision = self.follower.revision
        if revision < self.ever_in_force:
            raise ViolationError(f"{self.name} serves on {revision}, had {self.ever_in_force}")
        if basis is not ServingBasis.QUORUM:
            return
        if self.confirmed is None:
            raise ViolationError(f"{self.name} serves, and no quorum confirmed anything")
        if revision < self.confirmed:
            raise ViolationError(f"{self.name} serves on {revision} of {self.confirmed} accepted")
