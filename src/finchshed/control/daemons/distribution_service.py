"""Serves daemons: sends the configuration, and handles ledger requests and reports.

Owns the hub, and the soft state and quota services that share its connections. Relies on the
replicated log for committed changes.
"""

import asyncio
import time
from collections.abc import Sequence

from finchshed.configuration.store import CommittedRevision
from finchshed.control.addresses import split_address
from finchshed.control.background import BackgroundTasks
from finchshed.control.daemons.daemon_view import configuration_for_daemons, delta_for_daemons
from finchshed.control.daemons.decision_queries import DecisionQueries
from finchshed.control.daemons.directory_service import DirectoryService
from finchshed.control.daemons.ledger_room import LedgerRoom
from finchshed.control.daemons.ledger_router import LedgerRouter, ShardClient
from finchshed.control.daemons.ledger_service import LedgerService
from finchshed.control.daemons.quarantine_service import QuarantineService
from finchshed.control.daemons.quota_service import QuotaService
from finchshed.control.memory import ControlMemoryPlan
from finchshed.control.raft.group_log import GroupLog
from finchshed.control.state.machine import ControlStateMachine
from finchshed.distribution.hub import Hub
from finchshed.distribution.hub_effects import HubLimits
from finchshed.distribution.messages import ControlToDaemon, Decision, Hints, LedgerRequest
from finchshed.distribution.server import Answer, HubServer
from finchshed.distribution.snapshot import Configuration
from finchshed.distribution.status import DistributionStatus, InForceReport, StatusTable
from finchshed.link.networks import PeerNetworks
from finchshed.runtime import clock
from finchshed.tls.credentials import Credentials
from finchshed.tls.handshakes import Connector
from finchshed.tls.names import CertificateRole

QUORUM_CHECK_SECONDS = 0.4
"""Interval between checks for quorum contact; the hub expects one at least every 0.5 s."""

REPORT_INTERVAL_SECONDS = 1.0
"""Interval between status reports to the other control nodes."""

FULL_REPORT_EVERY = 10
"""Every n-th report lists all daemons, to repair lost reports."""


class DistributionService:
    """Connects the hub to the replicated log.

    Parameters
    ----------
    node
        Name of this control node.
    memory
        What the process may hold.
    credentials
        TLS credentials; None for plain text.
    """

    def __init__(
        self,
        node: str,
        machine: ControlStateMachine,
        log: GroupLog,
        background: BackgroundTasks,
        networks: PeerNetworks | None = None,
        *,
        memory: ControlMemoryPlan,
        credentials: Credentials | None = None,
    ) -> None:
        self._machine = machine
        self._log = log
        self._background = background
        self._ledger_router = self._make_ledger_router(node, memory, credentials)
        self._hub = Hub(node, _hub_limits(memory))
        self._decision_queries = DecisionQueries()
        self.directory = DirectoryService(self._broadcast, log.send_report)
        self.quarantine = QuarantineService(self._broadcast, log.send_report)
        self.quotas = QuotaService(machine, log, self._send_to_daemon)
        self._server = self._make_server(networks, credentials)
        self._ledger_tasks: set[asyncio.Task[None]] = set()
        self._status: StatusTable | None = None
        self._is_serving = False

    async def start(self, address: str) -> None:
        """Listen for daemons at ``address``."""
        loop = asyncio.get_running_loop()
        self._status = StatusTable(loop.time())
        host, port = split_address(address)
        await self._server.start(host, port)
        self._is_serving = True
        self._server.restore(self._configuration())
        self._background.spawn(self._publish_quorum_contact())
        self._background.spawn(self._report_status())
        self._background.spawn(self.directory.run())
        self._background.spawn(self.quarantine.run())
        self._background.spawn(self.quotas.run())

    async def stop(self, timeout_seconds: float) -> None:
        """Finish ledger requests in progress and close the connections."""
        self._is_serving = False
        if self._ledger_tasks:
            await asyncio.wait(self._ledger_tasks, timeout=timeout_seconds)
        self._ledger_router.close()
        await self._server.close()

    def set_alternatives(self, addresses: tuple[str, ...]) -> None:
        """Set the control nodes' distribution addresses, for daemons that must reconnect."""
        self._hub.set_alternatives(addresses)
        self.directory.set_control_addresses(addresses)

    def on_committed(self, committed: CommittedRevision) -> None:
        """Send an accepted change to daemons."""
        if self._is_serving:
            self._server.commit(delta_for_daemons(committed))

    def on_restored(self) -> None:
        """Send the full configuration after the state was replaced with a snapshot."""
        if self._is_serving:
            self._server.restore(self._configuration())

    def on_report(self, report: InForceReport) -> None:
        """Merge a status report of another control node."""
        if self._status is not None:
            self._status.merge(report, asyncio.get_running_loop().time())

    def send_hints(self, hints: Hints) -> None:
        """Send hints from the platform's list to every daemon."""
        self._server.broadcast(hints)

    def connected_daemons(self) -> int:
        """Return the number of daemons connected here."""
        return self._hub.subscriber_count()

    def history_bytes(self) -> int:
        """Return the encoded size of the changes kept for daemons that are behind."""
        return self._hub.history_bytes

    def status(self) -> DistributionStatus:
        """Return the status of the daemons of all control nodes."""
        assert self._status is not None, "status() called before start()"
        endpoints = (endpoint.name for endpoint in self._hub.configuration.endpoints())
        return self._status.summary(asyncio.get_running_loop().time(), endpoints)

    async def explain(self, node: str, root: str, limit: int) -> tuple[Decision, ...] | None:
        """Return recent decisions of a daemon; None if not connected here or on timeout."""
        return await self._decision_queries.ask(self._server, node, root, limit)

    def _make_ledger_router(
        self, node: str, memory: ControlMemoryPlan, credentials: Credentials | None
    ) -> LedgerRouter:
        room = LedgerRoom(self._machine.ledger, memory.ledger_bytes)
        connect = Connector(credentials, CertificateRole.CONTROL)
        return LedgerRouter(
            self._machine,
            self._log,
            LedgerService(self._log, self._background, room),
            connect_shard=lambda addresses: ShardClient(node, addresses, connect),
            now=clock.now,
            unix_now=time.time,
        )

    def _make_server(
        self, networks: PeerNetworks | None, credentials: Credentials | None
    ) -> HubServer:
        return HubServer(
            self._hub,
            self._confirm,
            self._on_ledger,
            self._decision_queries.on_reply,
            networks=networks,
            credentials=credentials,
            on_announce=self.directory.on_announce,
            on_quota=self.quotas.on_request,
            on_crash_news=self.quarantine.on_daemon_report,
            on_subscribed=self._initial_messages,
        )

    def _initial_messages(self) -> Sequence[ControlToDaemon]:
        return (*self.directory.initial_messages(), *self.quarantine.initial_messages())

    def _send_to_daemon(self, daemon: str, message: ControlToDaemon) -> bool:
        return self._server.send_to(daemon, message)

    def _broadcast(self, message: ControlToDaemon) -> None:
        self._server.broadcast(message)

    def _configuration(self) -> Configuration:
        store = self._machine.store
        return configuration_for_daemons(store.revision, store.resources.values())

    async def _confirm(self) -> bool:
        await self._log.read_barrier()
        return True

    def _on_ledger(self, request: LedgerRequest, answer: Answer) -> None:
        task = self._background.spawn(self._answer_ledger(request, answer))
        self._ledger_tasks.add(task)
        task.add_done_callback(self._ledger_tasks.discard)

    async def _answer_ledger(self, request: LedgerRequest, answer: Answer) -> None:
        answer(await self._ledger_router.answer(request))

    async def _publish_quorum_contact(self) -> None:
        while True:
            self._server.set_quorum_contact(self._log.in_contact())
            await asyncio.sleep(QUORUM_CHECK_SECONDS)

    async def _report_status(self) -> None:
        number = 0
        while True:
            report = self._hub.collect_report(everything=number % FULL_REPORT_EVERY == 0)
            number += 1
            self.on_report(report)
            self._log.send_report(report)
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)


def _hub_limits(memory: ControlMemoryPlan) -> HubLimits:
    return HubLimits(
        history_bytes=memory.history_bytes, unsent_bytes=memory.subscribers_unsent_bytes
    )
