"""Link faults of a fault script; each one sets rules and clears them when it ends."""

import asyncio
import itertools
from collections.abc import Callable

from finchshed.fleet import actions
from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.link_conditions import LinkCondition, LinkRule
from finchshed.fleet.links import FleetLinks
from finchshed.proof.history import Fault


class LinkFaults:
    """Impairs links and records the faults in the journal.

    Parameters
    ----------
    resolve
        Returns the name of the process that a selector denotes now; other names unchanged.
    """

    def __init__(
        self, links: FleetLinks, journal: FaultJournal, resolve: Callable[[str], str]
    ) -> None:
        self._links = links
        self._journal = journal
        self._resolve = resolve
        self._numbers = itertools.count(1)

    async def cut(self, action: actions.Cut) -> None:
        """Block the traffic of links for the duration of the action."""
        directions = [(action.source, action.target)]
        if not action.one_way:
            directions.append((action.target, action.source))
        await self._apply_temporarily(
            "cut", directions, LinkCondition(cut=True), action.duration_seconds
        )

    async def delay(self, action: actions.Delay) -> None:
        """Delay the traffic of links for the duration of the action."""
        directions = [(action.source, action.target), (action.target, action.source)]
        condition = LinkCondition(delay_seconds=action.delay_seconds)
        await self._apply_temporarily("delay", directions, condition, action.duration_seconds)

    async def throttle(self, action: actions.Throttle) -> None:
        """Limit the bandwidth of links for the duration of the action."""
        directions = [(action.source, action.target), (action.target, action.source)]
        condition = LinkCondition(bytes_per_second=action.bytes_per_second)
        await self._apply_temporarily("throttle", directions, condition, action.duration_seconds)

    async def _apply_temporarily(
        self,
        fault: str,
        directions: list[tuple[str, str]],
        condition: LinkCondition,
        duration_seconds: float,
    ) -> None:
        names = []
        targets: list[str] = []
        for source, target in directions:
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

    async def reset(self, action: actions.Reset) -> None:
        """Reset the connections that exist now."""
        ends = (self._resolve(action.source), self._resolve(action.target))
        self._links.relay.reset(*ends)
        self._journal.add(Fault(self._journal.now(), "reset", ends))
