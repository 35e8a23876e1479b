"""Rules that impair links between processes and zones; the relay applies them to the traffic."""

import asyncio

import msgspec


class LinkCondition(msgspec.Struct, frozen=True, kw_only=True):
    """Impairments of one direction of a link; zero values mean none."""

    delay_seconds: float = 0.0
    cut: bool = False
    bytes_per_second: float = 0.0


UNIMPAIRED = LinkCondition()


class Peer(msgspec.Struct, frozen=True):
    """A process at one end of a link, and its zone."""

    name: str
    zone: str


UNKNOWN_PEER = Peer(name="", zone="")


class LinkRule(msgspec.Struct, frozen=True, kw_only=True):
    """Impairment of the traffic from matching sources to matching targets.

    ``source`` and ``target`` are names of processes or zones; ``*`` matches all.
    """

    source: str
    target: str
    condition: LinkCondition

    def matches(self, source: Peer, target: Peer) -> bool:
        """Whether this rule applies to traffic from ``source`` to ``target``."""
        return matches_peer(self.source, source) and matches_peer(self.target, target)


def matches_peer(pattern: str, peer: Peer) -> bool:
    """Whether ``pattern`` is the peer's name, its zone or ``*``."""
    return pattern in {"*", peer.name, peer.zone}


class LinkRules:
    """Set of active rules, combined for each direction of a link."""

    def __init__(self) -> None:
        self._rules: dict[str, LinkRule] = {}
        self._changed = asyncio.Event()

    def set(self, name: str, rule: LinkRule) -> None:
        """Add or replace the rule ``name``."""
        self._rules[name] = rule
        self._notify_waiters()

    def clear(self, name: str) -> None:
        """Remove the rule ``name`` if it exists."""
        self._rules.pop(name, None)
        self._notify_waiters()

    def condition_between(self, source: Peer, target: Peer) -> LinkCondition:
        """Return the combined effect of all rules from ``source`` to ``target``."""
        conditions = [
            rule.condition for rule in self._rules.values() if rule.matches(source, target)
        ]
        if not conditions:
            return UNIMPAIRED
        rates = [item.bytes_per_second for item in conditions if item.bytes_per_second]
        return LinkCondition(
            delay_seconds=sum(item.delay_seconds for item in conditions),
            cut=any(item.cut for item in conditions),
            bytes_per_second=min(rates, default=0.0),
        )

    async def wait_until_open(self, source: Peer, target: Peer) -> LinkCondition:
        """Wait until the direction is not cut and return its condition."""
        while True:
            condition = self.condition_between(source, target)
            if not condition.cut:
                return condition
            await self._changed.wait()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
