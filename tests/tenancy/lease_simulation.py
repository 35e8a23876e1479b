"""Simulation of the key lease: control nodes, daemons, and a faulty network."""

import itertools
import random
from collections.abc import Callable, Sequence

from finchshed.configuration.resources import Tenant
from finchshed.distribution.hub import Hub
from finchshed.distribution.hub_effects import HubEffect, RequestConfirmation, SendLine
from finchshed.distribution.messages import ControlToDaemon, Delta, LeaseRenewed, Subscribe
from finchshed.distribution.snapshot import Configuration, apply_delta, is_applicable
from finchshed.tenancy.authentication import authenticate
from finchshed.tenancy.keys import TenantKeys, digest_of_key
from finchshed.tenancy.lease import RENEW_SECONDS, KeyLease
from tests.event_clock import Clock

KEYS = tuple(f"key-{number}".encode() for number in range(4))
REVOKE_SECONDS = 5.0
LEASE_SECONDS = 4.6
TICK_SECONDS = 0.5
USE_SECONDS = 0.1


class Control:
    """The accepted revisions. Revision 1 declares all keys, each later one changes them."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.deltas: list[Delta] = []
        self.revoked_at: dict[bytes, float] = {}
        self.has_leader = True

    def accept(self, keys: Sequence[bytes]) -> None:
        """Accept a revision whose only tenant holds ``keys``."""
        tenant = Tenant("holder", tuple(digest_of_key(key) for key in keys))
        base = len(self.deltas)
        self.deltas.append(Delta(base, base + 1, puts=(tenant,)))
        for key in KEYS:
            if key in keys:
                self.revoked_at.pop(key, None)
            else:
                self.revoked_at.setdefault(key, self.clock.now)


class Node:
    """A control node: a hub and the revisions applied to it."""

    def __init__(self, clock: Clock, control: Control, rng: random.Random) -> None:
        self.clock = clock
        self.control = control
        self.rng = rng
        self.hub = Hub("c")
        self.hub.on_quorum_contact(True, 0.0)
        self.reaches_quorum = True
        self.links: dict[int, Link] = {}
        clock.at(0.0, self.apply_next)
        clock.at(0.0, self.tick)

    @property
    def applied(self) -> int:
        """Latest revision applied here."""
        return self.hub.configuration.revision

    def apply_next(self) -> None:
        """Apply the next accepted revision at random intervals."""
        if self.reaches_quorum and self.applied < len(self.control.deltas):
            self.perform(self.hub.on_committed(self.control.deltas[self.applied], self.clock.now))
        self.clock.at(self.clock.now + self.rng.uniform(0.005, 0.15), self.apply_next)

    def tick(self) -> None:
        """Let the hub send heartbeats and repeat failed reads."""
        self.perform(self.hub.tick(self.clock.now))
        self.clock.at(self.clock.now + 0.25, self.tick)

    def perform(self, effects: Sequence[HubEffect]) -> None:
        """Carry out the hub's effects."""
        for effect in effects:
            if isinstance(effect, SendLine):
                for number in effect.subscribers:
                    if number in self.links:
                        self.links[number].to_daemon(effect.line.message)  # type: ignore[arg-type]
            elif isinstance(effect, RequestConfirmation):
                self.read(effect.ticket, len(self.control.deltas))

    def read(self, ticket: int, accepted: int) -> None:
        """Complete a quorum read once ``accepted`` revisions are applied here."""
        if not (self.reaches_quorum and self.control.has_leader):
            return

        def poll() -> None:
            if not (self.reaches_quorum and self.control.has_leader):
                return
            if self.applied >= accepted:
                self.perform(self.hub.on_confirmed(ticket, self.clock.now))
            else:
                self.clock.at(self.clock.now + 0.01, poll)

        self.clock.at(self.clock.now + self.rng.uniform(0.001, 0.2), poll)


class Link:
    """A connection of a daemon to a node: ordered, with delays, silent periods and one close."""

    def __init__(self, number: int, node: Node, daemon: "Daemon") -> None:
        self.number = number
        self.node = node
        self.daemon = daemon
        self.is_open = True
        self.silent_until = 0.0
        self._last = [0.0, 0.0]

    def to_daemon(self, message: ControlToDaemon) -> None:
        """Deliver a message to the daemon."""
        self._deliver(0, lambda: self.daemon.receive(self, message))

    def to_node(self, action: Callable[[], None]) -> None:
        """Run ``action`` at the node after the delay of the link."""
        self._deliver(1, action)

    def _deliver(self, direction: int, action: Callable[[], None]) -> None:
        clock, rng = self.node.clock, self.node.rng
        earliest = max(clock.now, self.silent_until, self._last[direction])
        self._last[direction] = earliest + rng.expovariate(100.0)
        clock.at(self._last[direction], lambda: action() if self.is_open else None)


class Daemon:
    """A daemon with its configuration and lease, and a client that uses each key periodically."""

    def __init__(self, clock: Clock, nodes: Sequence[Node], rng: random.Random) -> None:
        self.clock = clock
        self.nodes = nodes
        self.rng = rng
        self.lease = KeyLease()
        self.lease.seconds = LEASE_SECONDS
        self.configuration = Configuration()
        self.frozen_until = 0.0
        self.link: Link | None = None
        self.violations: list[str] = []
        self.accepted = 0
        self.rejected = 0
        clock.at(rng.uniform(0.0, RENEW_SECONDS), self.renew)
        clock.at(rng.uniform(0.0, USE_SECONDS), self.use_keys)

    def connect(self, number: int) -> None:
        """Close the current link and subscribe to a random node."""
        if self.link is not None:
            self.link.is_open = False
        node = self.rng.choice(self.nodes)
        link = self.link = Link(number, node, self)
        message = Subscribe(f"d{id(self)}", "1", "s", "z", self.configuration.revision)

        def subscribe() -> None:
            node.links[number] = link
            node.perform(node.hub.subscribe(number, message, self.clock.now))

        link.to_node(subscribe)

    def receive(self, link: Link, message: ControlToDaemon) -> None:
        """Handle a message, once the process is no longer frozen."""
        if self.clock.now < self.frozen_until:
            self.clock.at(self.frozen_until, lambda: self.receive(link, message))
            return
        if link is not self.link:
            return
        if isinstance(message, LeaseRenewed):
            self.lease.on_answer(message.question, message.revision)
        elif isinstance(message, Delta):
            self._apply_delta(message)

    def _apply_delta(self, delta: Delta) -> None:
        current = self.configuration.revision
        if delta.revision > current and is_applicable(delta, current):
            self.configuration = apply_delta(self.configuration, delta)
            self.lease.on_revision_applied(delta.revision)

    def renew(self) -> None:
        """Send a renewal request for the lease."""
        if self.clock.now >= self.frozen_until and self.link is not None:
            link, renewal = self.link, self.lease.start_renewal(self.clock.now)

            def arrive() -> None:
                link.node.perform(
                    link.node.hub.on_lease_request(link.number, renewal, self.clock.now)
                )

            link.to_node(arrive)
        self.clock.at(self.clock.now + RENEW_SECONDS, self.renew)

    def use_keys(self) -> None:
        """Receive a request with each key."""
        if self.clock.now >= self.frozen_until:
            tenants = TenantKeys(
                item for item in self.configuration.resources.values() if isinstance(item, Tenant)
            )
            for key in KEYS:
                self._use_key(key, tenants)
        self.clock.at(self.clock.now + USE_SECONDS, self.use_keys)

    def _use_key(self, key: bytes, tenants: TenantKeys) -> None:
        now = self.clock.now
        result = authenticate({key}, tenants, self.lease, now, is_public=False)
        if not isinstance(result, Tenant):
            self.rejected += 1
            return
        self.accepted += 1
        revoked_at = self.nodes[0].control.revoked_at.get(key)
        if revoked_at is not None and now > revoked_at + REVOKE_SECONDS:
            self.violations.append(f"{now:.3f}: {key!r} revoked at {revoked_at:.3f}")


class Simulation:
    """Control, nodes and daemons, under faults drawn from a seed."""

    def __init__(self, seed: int, *, has_faults: bool = True) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.control = Control(self.clock)
        self.control.accept(KEYS)
        self.nodes = [Node(self.clock, self.control, self.rng) for _ in range(3)]
        self.daemons = [Daemon(self.clock, self.nodes, self.rng) for _ in range(3)]
        self._numbers = itertools.count(1)
        for daemon in self.daemons:
            daemon.connect(next(self._numbers))
        if has_faults:
            self.clock.at(2.0, self._inject_fault)
            self.clock.at(3.0, self._change_keys)

    def run(self, seconds: float) -> list[str]:
        """Run, and return the uses of keys that should have been invalid."""
        self.clock.run(seconds)
        return [violation for daemon in self.daemons for violation in daemon.violations]

    def _change_keys(self) -> None:
        if self.control.has_leader:
            self.control.accept([key for key in KEYS if self.rng.random() < 0.6])
        self.clock.at(self.clock.now + self.rng.uniform(0.5, 6.0), self._change_keys)

    def _inject_fault(self) -> None:
        now = self.clock.now
        seconds = self.rng.uniform(0.2, 8.0)
        node, daemon = self.rng.choice(self.nodes), self.rng.choice(self.daemons)
        match self.rng.randrange(5):
            case 0:
                self.control.has_leader = False
                self.clock.at(now + seconds, lambda: setattr(self.control, "has_leader", True))
            case 1:
                node.reaches_quorum = False
                self.clock.at(now + seconds, lambda: setattr(node, "reaches_quorum", True))
            case 2:
                daemon.frozen_until = now + seconds
            case 3:
                if daemon.link is not None:
                    daemon.link.silent_until = now + seconds
            case 4:
                daemon.connect(next(self._numbers))
        self.clock.at(now + self.rng.expovariate(0.7), self._inject_fault)
