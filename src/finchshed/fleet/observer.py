"""Polls the metrics of a running fleet for the control leader and the revisions in force."""

import asyncio
import contextlib

import aiohttp

from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.processes import ProcessRole
from finchshed.fleet.runner import Fleet
from finchshed.proof.history import RevisionInForce

POLL_SECONDS = 0.25
"""Well below the default bound of 4 s for a change to be in force."""

READ_TIMEOUT_SECONDS = 1.0
"""Timeout of one read; a frozen process exceeds it."""

REVISION = "finchshed_configuration_revision"
SERVING = "finchshed_serving"
IS_LEADER = "finchshed_control_is_leader"
TERM = "finchshed_control_term"
DISK_FULL = "finchshed_control_disk_full"


def parse_unlabelled_samples(exposition: str) -> dict[str, float]:
    """Return the values of all samples without labels in the Prometheus text format."""
    values = {}
    for line in exposition.splitlines():
        name, _, value = line.partition(" ")
        if name and not name.startswith("#") and "{" not in name:
            values[name] = float(value)
    return values


class FleetObserver:
    """Polls the admin listeners and records changes of the revisions in force.

    A change is recorded at most one polling interval late. A control node that can't be read keeps
    its last known state, because a frozen node may still consider itself the leader.
    """

    def __init__(self, fleet: Fleet, journal: FaultJournal) -> None:
        self._fleet = fleet
        self._journal = journal
        self._revisions: dict[str, int] = {}
        self._leader_terms: dict[str, float] = {}
        self.disks_seen_full: set[str] = set()
        """Control nodes that have reported a full disk."""
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
        """Leader with the highest term seen, or an empty string if none was seen."""
        terms = self._leader_terms
        return max(terms, key=lambda name: terms[name]) if terms else ""

    @property
    def revisions(self) -> dict[str, int]:
        """Last revision seen in force at each daemon."""
        return dict(self._revisions)

    def followers(self) -> list[str]:
        """Return the running control nodes other than the leader."""
        nodes = self._fleet.with_role(ProcessRole.CONTROL)
        running = [node.spec.name for node in nodes if node.is_running]
        return [name for name in running if name != self.leader]

    async def poll(self) -> None:
        """Read the metrics of every production process once."""
        daemons = [
            node.spec.name for node in self._fleet.with_role(ProcessRole.DAEMON, ProcessRole.EDGE)
        ]
        control = [node.spec.name for node in self._fleet.with_role(ProcessRole.CONTROL)]
        await asyncio.gather(
            *(self._read_daemon(name) for name in daemons),
            *(self._read_control(name) for name in control),
        )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_SECONDS)
            await self.poll()

    async def _read_daemon(self, name: str) -> None:
        read_at = self._journal.now()
        values = await self._read_metrics(name)
        revision = int(values.get(REVISION, 0.0))
        if not values.get(SERVING) or self._revisions.get(name) == revision:
            return
        self._revisions[name] = revision
        self._journal.add(RevisionInForce(read_at, name, revision))

    async def _read_control(self, name: str) -> None:
        values = await self._read_metrics(name)
        if not values:
            return
        if values.get(DISK_FULL):
            self.disks_seen_full.add(name)
        if values.get(IS_LEADER):
            self._leader_terms[name] = values.get(TERM, 0.0)
        else:
            self._leader_terms.pop(name, None)

    async def _read_metrics(self, name: str) -> dict[str, float]:
        url = f"http://{self._fleet.plan.admin_addresses[name]}/metrics"
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
        try:
            async with self._fleet.http.get(url, timeout=timeout) as response:
                return parse_unlabelled_samples(await response.text())
        except (aiohttp.ClientError, TimeoutError):
            return {}
