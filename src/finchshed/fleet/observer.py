"""Observes a running fleet by its admin listeners: who leads, and what is in force where.

Owns the last value seen of each; relies on the names of the programs' metrics.
"""

import asyncio
import contextlib

import aiohttp

from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.processes import ProcessRole
from finchshed.fleet.runner import Fleet
from finchshed.proof.history import RevisionInForce

POLL_SECONDS = 0.25
"""Between two rounds; a revision in force is judged against 4 s. Chosen, not measured."""

READ_TIMEOUT_SECONDS = 1.0
"""How long a process may take to answer; a frozen one doesn't. Chosen, not measured."""

REVISION = "finchshed_configuration_revision"
SERVING = "finchshed_serving"
IS_LEADER = "finchshed_control_is_leader"
TERM = "finchshed_control_term"
DISK_FULL = "finchshed_control_disk_full"


def values_of(exposition: str) -> dict[str, float]:
    """Return the values of all samples without labels in Prometheus's text format."""
    values = {}
    for line in exposition.splitlines():
        name, _, value = line.partition(" ")
        if name and not name.startswith("#") and "{" not in name:
            values[name] = float(value)
    return values


class FleetObserver:
    """Polls the admin listeners and notes what changes.

    A daemon's revision is noted when it differs from the last one seen, so a history shows each
    node's way through the revisions, late by at most one round of polling. A control node that
    can't be read keeps what was last known of it: it may be frozen and still think that it leads.
    """

    def __init__(self, fleet: Fleet, journal: FaultJournal) -> None:
        self._fleet = fleet
        self._journal = journal
        self._revisions: dict[str, int] = {}
        self._leader_terms: dict[str, float] = {}
        self.disks_seen_full: set[str] = set()
        """Control nodes that said that their disk was full."""
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "FleetObserver":
        await self.poll()
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    @property
    def leader(self) -> str:
        """The control node that leads in the highest term seen; empty if none was seen."""
        terms = self._leader_terms
        return max(terms, key=lambda name: terms[name]) if terms else ""

    @property
    def revisions(self) -> dict[str, int]:
        """The last revision seen in force at each daemon."""
        return dict(self._revisions)

    def followers(self) -> list[str]:
        """Return the control nodes that run and don't lead."""
        nodes = self._fleet.of_role(ProcessRole.CONTROL)
        running = [node.spec.name for node in nodes if node.is_running]
        return [name for name in running if name != self.leader]

    async def poll(self) -> None:
        """Read every process once."""
        daemons = [
            node.spec.name for node in self._fleet.of_role(ProcessRole.DAEMON, ProcessRole.EDGE)
        ]
        control = [node.spec.name for node in self._fleet.of_role(ProcessRole.CONTROL)]
        await asyncio.gather(
            *(self._read_daemon(name) for name in daemons),
            *(self._read_control(name) for name in control),
        )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_SECONDS)
            await self.poll()

    async def _read_daemon(self, name: str) -> None:
        asked_at = self._journal.now()
        values = await self._metrics(name)
        revision = int(values.get(REVISION, 0.0))
        if not values.get(SERVING) or self._revisions.get(name) == revision:
            return
        self._revisions[name] = revision
        self._journal.add(RevisionInForce(asked_at, name, revision))

    async def _read_control(self, name: str) -> None:
        values = await self._metrics(name)
        if not values:
            return
        if values.get(DISK_FULL):
            self.disks_seen_full.add(name)
        if values.get(IS_LEADER):
            self._leader_terms[name] = values.get(TERM, 0.0)
        else:
            self._leader_terms.pop(name, None)

    async def _metrics(self, name: str) -> dict[str, float]:
        url = f"http://{self._fleet.plan.admin_addresses[name]}/metrics"
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
        try:
            async with self._fleet.http.get(url, timeout=timeout) as response:
                return values_of(await response.text())
        except (aiohttp.ClientError, TimeoutError):
            return {}
