"""What the links of a fleet suffer: rules between processes and zones, taken together.

Owns the rules in force. What a condition does to bytes is the relay's.
"""

import asyncio

import msgspec


class Condition(msgspec.Struct, frozen=True, kw_only=True):
    """What one direction of a link suffers."""

    delay_seconds: float = 0.0
    cut: bool = False
    bytes_per_second: float = 0.0


GOOD = Condition()


class Peer(msgspec.Struct, frozen=True):
    """A process at one end of a link, and its zone."""

    name: str
    zone: str


UNKNOWN_PEER = Peer(name="", zone="")


class LinkRule(msgspec.Struct, frozen=True, kw_only=True):
    """A condition of all bytes that go from some peers to some others.

    ``source`` and ``target`` are names of processes or zones; ``*`` stands for all.
    """

    source: str
    target: str
    condition: Condition

    def matches(self, source: Peer, target: Peer) -> bool:
        """Whether bytes from ``source`` to ``target`` suffer this rule."""
        return is_named(self.source, source) and is_named(self.target, target)


def is_named(pattern: str, peer: Peer) -> bool:
    """Whether ``pattern`` is the peer's name, its zone or ``*``."""
    return pattern in {"*", peer.name, peer.zone}


class Conditions:
    """The rules in force; every direction of every connection asks here."""

    def __init__(self) -> None:
        self._rules: dict[str, LinkRule] = {}
        self._changed = asyncio.Event()

    def set(self, name: str, rule: LinkRule) -> None:
        """Put a rule in force under ``name``."""
        self._rules[name] = rule
        self._wake()

    def clear(self, name: str) -> None:
        """Take a rule out of force."""
        self._rules.pop(name, None)
        self._wake()

    def between(self, source: Peer, target: Peer) -> Condition:
        """Return what bytes from ``source`` to ``target`` suffer, all rules taken together."""
        found = [rule.condition for rule in self._rules.values() if rule.matches(source, target)]
        if not found:
            return GOOD
        rates = [item.bytes_per_second for item in found if item.bytes_per_second]
        return Condition(
            delay_seconds=sum(item.delay_seconds for item in found),
            cut=any(item.cut for item in found),
            bytes_per_second=min(rates, default=0.0),
        )

    async def until_open(self, source: Peer, target: Peer) -> Condition:
        """Wait until bytes can pass and return what they suffer."""
        while True:
            condition = self.between(source, target)
            if not condition.cut:
                return condition
            await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
