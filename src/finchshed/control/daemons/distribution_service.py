"""What control does for its daemons: configuration down, ledger requests and reports up.

Owns the hub, and the services of soft state and quotas that share its connections. Relies on the
replicated log for what is committed.
"""

import asyncio
import time
from collections.abc import Sequence

from finchshed.configuration.store import CommittedRevision
from finchshed.control.addresses import split_address
from finchshed.control.background import Background
from finchshed.control.daemons.daemon_view import configuration_for_daemons, delta_for_daemons
from finchshed.control.daemons.directory_service import DirectoryService
from finchshed.control.daemons.explanations import Explanations
from finchshed.control.daemons.ledger_router import LedgerRouter, ShardClient
from finchshed.control.daemons.ledger_service import LedgerService
from finchshed.control.daemons.quarantine_service import QuarantineService
from finchshed.control.daemons.quota_service import QuotaService
from finchshed.control.raft.group_log import GroupLog
from finchshed.control.state.machine import ControlStateMachine
from finchshed.distribution.hub import Hub
from finchshed.distribution.messages import ControlToDaemon, Decision, Hints, LedgerRequest
from finchshed.distribution.server import Answer, HubServer
from finchshed.distribution.snapshot import Configuration
from finchshed.distribution.status import DistributionStatus, InForceReport, StatusTable
from finchshed.link.networks import PeerNetworks
from finchshed.runtime import clock
from finchshed.tls.credentials import Credentials
from finchshed.tls.handshakes import Connector
from finchshed.tls.names import CertificateRole

CONTACT_SECONDS = 0.4
"""Time between looks at whether this node is in contact with a quorum; the hub asks for one each
half second at least. Chosen, not measured."""

REPORT_SECONDS = 1.0
"""Time between reports of this node's daemons to the other control nodes. Chosen, not measured."""

FULL_REPORT_EVERY = 10
"""Each so many reports one lists every daemon, in case one was lost. Chosen, not measured."""


class DistributionService:
    """Joins the hub to the replicated log.

    Parameters
    ----------
    node
        Name of this control node.
    credentials
        Keys for TLS; None: plain text.
    """

    def __init__(
        self,
        node: str,
        machine: ControlStateMachine,
        log: GroupLog,
        background: Background,
        networks: PeerNetworks | None = None,
        *,
        credentials: Credentials | None = None,
    ) -> None:
        self._machine = machine
        self._log = log
        self._background = background
        self._ledger = self._make_ledger(node, credentials)
        self._hub = Hub(node)
        self._explanations = Explanations()
        self.directory = DirectoryService(self._broadcast, log.send_report)
        self.quarantine = QuarantineService(self._broadcast, log.send_report)
        self.quotas = QuotaService(machine, log, self._send_to)
        self._server = self._make_server(networks, credentials)
        self._requests: set[asyncio.Task[None]] = set()
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
        self._background.spawn(self._look_for_contact())
        self._background.spawn(self._report())
        self._background.spawn(self.directory.run())
        self._background.spawn(self.quarantine.run())
        self._background.spawn(self.quotas.run())

    async def stop(self, timeout_seconds: float) -> None:
        """Answer the requests in progress and close the links."""
        self._is_serving = False
        if self._requests:
            await asyncio.wait(self._requests, timeout=timeout_seconds)
        self._ledger.close()
        await self._server.close()

    def set_alternatives(self, addresses: tuple[str, ...]) -> None:
        """Name other control nodes' distribution addresses, for daemons that have to move."""
        self._hub.set_alternatives(addresses)
        self.directory.set_control_addresses(addresses)

    def on_committed(self, committed: CommittedRevision) -> None:
        """Send an accepted change on."""
        if self._is_serving:
            self._server.commit(delta_for_daemons(committed))

    def on_restored(self) -> None:
        """Send the whole configuration on: the state was replaced by a snapshot."""
        if self._is_serving:
            self._server.restore(self._configuration())

    def on_report(self, report: InForceReport) -> None:
        """Merge another control node's report of its daemons."""
        if self._status is not None:
            self._status.merge(report, asyncio.get_running_loop().time())

    def send_hints(self, hints: Hints) -> None:
        """Pass the platform's list on to every daemon."""
        self._server.broadcast(hints)

    def connected_daemons(self) -> int:
        """Return the number of daemons connected here."""
        return self._hub.subscriber_count()

    def status(self) -> DistributionStatus:
        """Return where which revision is in force, over all control nodes."""
        assert self._status is not None, "status is asked for before start"
        endpoints = (endpoint.name for endpoint in self._hub.configuration.endpoints())
        return self._status.summary(asyncio.get_running_loop().time(), endpoints)

    async def explain(self, node: str, root: str, limit: int) -> tuple[Decision, ...] | None:
        """Return recent decisions of a daemon, or None when it can't be asked here."""
        return await self._explanations.ask(self._server, node, root, limit)

    def _make_ledger(self, node: str, credentials: Credentials | None) -> LedgerRouter:
        connect = Connector(credentials, CertificateRole.CONTROL)
        return LedgerRouter(
            self._machine,
            self._log,
            LedgerService(self._log, self._background),
            make_shard=lambda addresses: ShardClient(node, addresses, connect),
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
            self._explanations.on_reply,
            networks=networks,
            credentials=credentials,
            on_announce=self.directory.on_announce,
            on_quota=self.quotas.on_request,
            on_crash_news=self.quarantine.on_daemon_news,
            on_subscribed=self._greeting,
        )

    def _greeting(self) -> Sequence[ControlToDaemon]:
        return (*self.directory.greeting(), *self.quarantine.greeting())

    def _send_to(self, daemon: str, message: ControlToDaemon) -> bool:
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
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    async def _answer_ledger(self, request: LedgerRequest, answer: Answer) -> None:
        answer(await self._ledger.answer(request))

    async def _look_for_contact(self) -> None:
        while True:
            self._server.set_quorum_contact(self._log.in_contact())
            await asyncio.sleep(CONTACT_SECONDS)

    async def _report(self) -> None:
        number = 0
        while True:
            report = self._hub.collect_report(everything=number % FULL_REPORT_EVERY == 0)
            number += 1
            self.on_report(report)
            self._log.send_report(report)
            await asyncio.sleep(REPORT_SECONDS)
