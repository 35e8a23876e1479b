"""A small world for the lease: control nodes, daemons, and a network that fails.

The hubs and the daemons' parts are the real ones. A quorum is modelled by the list of accepted
revisions: a read at a node that reaches it ends after all that was accepted when it began is
applied there.
"""

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
    """The accepted configurations. Revision 1 holds all keys, each later one changes them."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.deltas: list[Delta] = []
        self.removed_at: dict[bytes, float] = {}
        self.has_leader = True

    def accept(self, held: Sequence[bytes]) -> None:
        """Accept a configuration whose one tenant holds these keys."""
        tenant = Tenant("holder", tuple(digest_of_key(key) for key in held))
        base = len(self.deltas)
        self.deltas.append(Delta(base, base + 1, puts=(tenant,)))
        for key in KEYS:
            if key in held:
                self.removed_at.pop(key, None)
            else:
                self.removed_at.setdefault(key, self.clock.now)


class Node:
    """A control node: a hub over what it has applied."""

    def __init__(self, clock: Clock, control: Control, rng: random.Random) -> None:
        self.clock = clock
        self.control = control
        self.rng = rng
        self.hub = Hub("c")
        self.hub.on_contact(True, 0.0)
        self.reaches_quorum = True
        self.links: dict[int, Link] = {}
        clock.at(0.0, self.apply_later)
        clock.at(0.0, self.tick)

    @property
    def applied(self) -> int:
        """Revision applied here."""
        return self.hub.configuration.revision

    def apply_later(self) -> None:
        """Apply the next accepted revision, now and then."""
        if self.reaches_quorum and self.applied < len(self.control.deltas):
            self.perform(self.hub.on_committed(self.control.deltas[self.applied], self.clock.now))
        self.clock.at(self.clock.now + self.rng.uniform(0.005, 0.15), self.apply_later)

    def tick(self) -> None:
        """Have the hub send heartbeats and ask again for reads that failed."""
        self.perform(self.hub.tick(self.clock.now))
        self.clock.at(self.clock.now + 0.25, self.tick)

    def perform(self, effects: Sequence[HubEffect]) -> None:
        """Carry out what the hub asks for."""
        for effect in effects:
            if isinstance(effect, SendLine):
                for number in effect.subscribers:
                    if number in self.links:
                        self.links[number].to_daemon(effect.line.message)  # type: ignore[arg-type]
            elif isinstance(effect, RequestConfirmation):
                self.read(effect.ticket, len(self.control.deltas))

    def read(self, ticket: int, accepted: int) -> None:
        """End a read once a quorum answered and what it had accepted is applied; or never."""
        if not (self.reaches_quorum and self.control.has_leader):
            return

        def look() -> None:
            if not (self.reaches_quorum and self.control.has_leader):
                return
            if self.applied >= accepted:
                self.perform(self.hub.on_confirmed(ticket, self.clock.now))
            else:
                self.clock.at(self.clock.now + 0.01, look)

        self.clock.at(self.clock.now + self.rng.uniform(0.001, 0.2), look)


class Link:
    """A connection of a daemon to a node: in order, late, at times silent; ended for good once."""

    def __init__(self, number: int, node: Node, daemon: "Daemon") -> None:
        self.number = number
        self.node = node
        self.daemon = daemon
        self.is_open = True
        self.silent_until = 0.0
        self._last = [0.0, 0.0]

    def to_daemon(self, message: ControlToDaemon) -> None:
        """Carry a message down."""
        self._carry(0, lambda: self.daemon.take(self, message))

    def to_node(self, act: Callable[[], None]) -> None:
        """Carry something up."""
        self._carry(1, act)

    def _carry(self, way: int, act: Callable[[], None]) -> None:
        clock, rng = self.node.clock, self.node.rng
        earliest = max(clock.now, self.silent_until, self._last[way])
        self._last[way] = earliest + rng.expovariate(100.0)
        clock.at(self._last[way], lambda: act() if self.is_open else None)


class Daemon:
    """A daemon: its configuration, its lease, and a caller that uses each key now and then."""

    def __init__(self, clock: Clock, nodes: Sequence[Node], rng: random.Random) -> None:
        self.clock = clock
        self.nodes = nodes
        self.rng = rng
        self.lease = KeyLease()
        self.lease.seconds = LEASE_SECONDS
        self.configuration = Configuration()
        self.frozen_until = 0.0
        self.link: Link | None = None
        self.breaches: list[str] = []
        self.taken = 0
        self.held_back = 0
        clock.at(rng.uniform(0.0, RENEW_SECONDS), self.ask)
        clock.at(rng.uniform(0.0, USE_SECONDS), self.use)

    def connect(self, number: int) -> None:
        """Leave the node in use and subscribe to another."""
        if self.link is not None:
            self.link.is_open = False
        node = self.rng.choice(self.nodes)
        link = self.link = Link(number, node, self)
        message = Subscribe(f"d{id(self)}", "1", "s", "z", self.configuration.revision)

        def subscribe() -> None:
            node.links[number] = link
            node.perform(node.hub.subscribe(number, message, self.clock.now))

        link.to_node(subscribe)

    def take(self, link: Link, message: ControlToDaemon) -> None:
        """Take a message, once the process runs."""
        if self.clock.now < self.frozen_until:
            self.clock.at(self.frozen_until, lambda: self.take(link, message))
            return
        if link is not self.link:
            return
        if isinstance(message, LeaseRenewed):
            self.lease.on_answer(message.question, message.revision)
        elif isinstance(message, Delta):
            self._take_delta(message)

    def _take_delta(self, delta: Delta) -> None:
        held = self.configuration.revision
        if delta.revision > held and is_applicable(delta, held):
            self.configuration = apply_delta(self.configuration, delta)
            self.lease.on_revision_applied(delta.revision)

    def ask(self) -> None:
        """Send a question for the lease."""
        if self.clock.now >= self.frozen_until and self.link is not None:
            link, question = self.link, self.lease.start_renewal(self.clock.now)

            def arrive() -> None:
                link.node.perform(link.node.hub.on_question(link.number, question, self.clock.now))

            link.to_node(arrive)
        self.clock.at(self.clock.now + RENEW_SECONDS, self.ask)

    def use(self) -> None:
        """Have a request come in with each key."""
        if self.clock.now >= self.frozen_until:
            tenants = TenantKeys(
                item for item in self.configuration.resources.values() if isinstance(item, Tenant)
            )
            for key in KEYS:
                self._use(key, tenants)
        self.clock.at(self.clock.now + USE_SECONDS, self.use)

    def _use(self, key: bytes, tenants: TenantKeys) -> None:
        now = self.clock.now
        found = authenticate({key}, tenants, self.lease, now, is_public=False)
        if not isinstance(found, Tenant):
            self.held_back += 1
            return
        self.taken += 1
        removed_at = self.nodes[0].control.removed_at.get(key)
        if removed_at is not None and now > removed_at + REVOKE_SECONDS:
            self.breaches.append(f"{now:.3f}: {key!r} taken away at {removed_at:.3f}")


class World:
    """All of them, under faults drawn from a seed."""

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
            self.clock.at(2.0, self._disturb)
            self.clock.at(3.0, self._change)

    def run(self, seconds: float) -> list[str]:
        """Play; return the uses of keys that had ended."""
        self.clock.run(seconds)
        return [breach for daemon in self.daemons for breach in daemon.breaches]

    def _change(self) -> None:
        if self.control.has_leader:
            self.control.accept([key for key in KEYS if self.rng.random() < 0.6])
        self.clock.at(self.clock.now + self.rng.uniform(0.5, 6.0), self._change)

    def _disturb(self) -> None:
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
        self.clock.at(now + self.rng.expovariate(0.7), self._disturb)
