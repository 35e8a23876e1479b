"""Acts of a fault script on the links of a fleet.

Owns the names of the rules it puts in force; takes each out of force when its act is over.
"""

import asyncio
import itertools
from collections.abc import Callable

from finchshed.fleet import acts
from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.link_conditions import Condition, LinkRule
from finchshed.fleet.links import FleetLinks
from finchshed.proof.history import Fault


class LinkFaults:
    """Puts rules in force on the links and notes them in the journal.

    Parameters
    ----------
    resolve
        Returns the process that a selector stands for now; other names as they are.
    """

    def __init__(
        self, links: FleetLinks, journal: FaultJournal, resolve: Callable[[str], str]
    ) -> None:
        self._links = links
        self._journal = journal
        self._resolve = resolve
        self._numbers = itertools.count(1)

    async def cut(self, act: acts.Cut) -> None:
        """Cut links in silence for a while."""
        ways = [(act.source, act.target)]
        if not act.one_way:
            ways.append((act.target, act.source))
        await self._suffer("cut", ways, Condition(cut=True), act.duration_seconds)

    async def delay(self, act: acts.Delay) -> None:
        """Let bytes arrive later for a while."""
        ways = [(act.source, act.target), (act.target, act.source)]
        condition = Condition(delay_seconds=act.delay_seconds)
        await self._suffer("delay", ways, condition, act.duration_seconds)

    async def throttle(self, act: acts.Throttle) -> None:
        """Make links narrow for a while."""
        ways = [(act.source, act.target), (act.target, act.source)]
        condition = Condition(bytes_per_second=act.bytes_per_second)
        await self._suffer("throttle", ways, condition, act.duration_seconds)

    async def _suffer(
        self,
        fault: str,
        ways: list[tuple[str, str]],
        condition: Condition,
        duration_seconds: float,
    ) -> None:
        names = []
        targets: list[str] = []
        for source, target in ways:
            name = f"{fault}-{next(self._numbers)}"
            resolved = (self._resolve(source), self._resolve(target))
            rule = LinkRule(source=resolved[0], target=resolved[1], condition=condition)
            self._links.set(name, rule)
            names.append(name)
            targets += resolved
        ends = tuple(dict.fromkeys(targets))
        self._journal.add(Fault(self._journal.now(), fault, ends))
        await asyncio.sleep(duration_seconds)
        for name in names:
            self._links.clear(name)
        self._journal.add(Fault(self._journal.now(), fault, ends, ended=True))

    async def reset(self, act: acts.Reset) -> None:
        """Reset connections once."""
        ends = (self._resolve(act.source), self._resolve(act.target))
        self._links.relay.reset(*ends)
        self._journal.add(Fault(self._journal.now(), "reset", ends))
