"""Listens for daemons: configuration down, reports and ledger requests up."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
from loguru import logger

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.store import CommittedRevision
from finchshed.control.addresses import split_address
from finchshed.control.ledger_service import LedgerRequest, LedgerService
from finchshed.control.replicated_log import ReplicatedLog
from finchshed.control.state_machine import ControlStateMachine
from finchshed.distribution.messages import (
    DaemonToControl,
    Decision,
    Delta,
    ExplainReply,
    ExplainRequest,
    Fetch,
    InForce,
    LedgerBegin,
    LedgerCancel,
    LedgerComplete,
    Redirect,
    Subscribe,
)
from finchshed.link.lines import LineProtocol, encode_line

EXPLAIN_TIMEOUT_SECONDS = 2.0


class DaemonState(msgspec.Struct):
    """What this control node knows of one daemon."""

    node: str
    service: str
    zone: str
    revision: int
    last_heard: float
    connected: bool = True


class DaemonLink:
    """One daemon's connection."""

    def __init__(self, protocol: LineProtocol[DaemonToControl]) -> None:
        self.protocol = protocol
        self.subscribed: Subscribe | None = None
        self.sent_revision = -1


class DistributionServer:
    """Serves the daemons that connect to this control node."""

    def __init__(
        self, machine: ControlStateMachine, log: ReplicatedLog, max_line_bytes: int
    ) -> None:
        self._machine = machine
        self._log = log
        self._ledger = LedgerService(log)
        self._max_line_bytes = max_line_bytes
        self._links: dict[LineProtocol[DaemonToControl], DaemonLink] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._explanations: dict[int, asyncio.Future[tuple[Decision, ...]]] = {}
        self._next_request = 0
        self.daemons: dict[str, DaemonState] = {}

    async def start(self, address: str) -> None:
        """Listen at ``address``."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._new_protocol, host, port)

    async def stop(self, timeout_seconds: float) -> None:
        """Take no new connection, finish requests in progress and close the links."""
        if self._server is not None:
            self._server.close()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_seconds)
        for protocol in list(self._links):
            protocol.send(Redirect())
            protocol.close()

    def on_committed(self, committed: CommittedRevision) -> None:
        """Send an accepted change to every daemon that holds the revision before it."""
        base = committed.revision - 1
        line = encode_line(Delta(base, committed.revision, committed.puts, committed.deletes))
        for link in self._links.values():
            if link.sent_revision == base:
                link.protocol.send_encoded(line)
                link.sent_revision = committed.revision

    def on_restored(self) -> None:
        """Send the whole configuration after this node caught up by a snapshot."""
        for link in self._links.values():
            if 0 <= link.sent_revision < self._machine.store.revision:
                self._send_whole(link, confirmed=False)

    async def explain(self, node: str, root: str, limit: int) -> tuple[Decision, ...] | None:
        """Ask the daemon ``node`` for recent decisions; None when it isn't connected here."""
        link = self._link_of(node)
        if link is None:
            return None
        self._next_request += 1
        request = self._next_request
        future = asyncio.get_running_loop().create_future()
        self._explanations[request] = future
        link.protocol.send(ExplainRequest(request, root, limit))
        try:
            return await asyncio.wait_for(future, EXPLAIN_TIMEOUT_SECONDS)
        except TimeoutError:
            return None
        finally:
            del self._explanations[request]

    def _link_of(self, node: str) -> DaemonLink | None:
        for link in self._links.values():
            if link.subscribed is not None and link.subscribed.node == node:
                return link
        return None

    def _new_protocol(self) -> LineProtocol[DaemonToControl]:
        return LineProtocol(
            DaemonToControl,
            self._on_message,
            on_open=self._on_open,
            on_close=self._on_close,
            max_line_bytes=self._max_line_bytes,
        )

    def _on_open(self, protocol: LineProtocol[DaemonToControl]) -> None:
        self._links[protocol] = DaemonLink(protocol)

    def _on_close(self, protocol: LineProtocol[DaemonToControl], error: Exception | None) -> None:
        link = self._links.pop(protocol)
        if error is not None:
            logger.info("link of {} ended: {}", protocol.peer_address, error)
        if link.subscribed is not None and self._link_of(link.subscribed.node) is None:
            self.daemons[link.subscribed.node].connected = False

    def _on_message(
        self, protocol: LineProtocol[DaemonToControl], message: DaemonToControl
    ) -> None:
        link = self._links[protocol]
        if isinstance(message, Subscribe):
            self._on_subscribe(link, message)
            return
        if link.subscribed is None:
            logger.info("{} sent a message before it subscribed", protocol.peer_address)
            protocol.abort()
            return
        daemon = self.daemons[link.subscribed.node]
        daemon.last_heard = asyncio.get_running_loop().time()
        if isinstance(message, InForce):
            daemon.revision = message.revision
        elif isinstance(message, Fetch):
            self._spawn(self._send_confirmed(link))
        elif isinstance(message, LedgerBegin | LedgerCancel | LedgerComplete):
            self._spawn(self._answer_ledger(protocol, message))
        elif isinstance(message, ExplainReply):
            self._on_explanation(message)

    def _on_subscribe(self, link: DaemonLink, message: Subscribe) -> None:
        link.subscribed = message
        self.daemons[message.node] = DaemonState(
            node=message.node,
            service=message.service,
            zone=message.zone,
            revision=message.revision,
            last_heard=asyncio.get_running_loop().time(),
        )
        self._spawn(self._send_confirmed(link))

    def _on_explanation(self, message: ExplainReply) -> None:
        future = self._explanations.get(message.request)
        if future is not None and not future.done():
            future.set_result(message.decisions)

    async def _send_confirmed(self, link: DaemonLink) -> None:
        try:
            await self._log.read_barrier()
        except ControlUnavailableError:
            self._send_whole(link, confirmed=False)
            return
        self._send_whole(link, confirmed=True)

    def _send_whole(self, link: DaemonLink, *, confirmed: bool) -> None:
        store = self._machine.store
        resources = tuple(store.resources.values())
        link.protocol.send(Delta(0, store.revision, resources, confirmed=confirmed))
        link.sent_revision = store.revision

    async def _answer_ledger(
        self, protocol: LineProtocol[DaemonToControl], request: LedgerRequest
    ) -> None:
        protocol.send(await self._ledger.answer(request))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
