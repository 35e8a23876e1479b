"""Fake control node: serves a fixed configuration and the production ledger, in memory."""

import asyncio
import time

from finchshed.common.outcomes import Answered
from finchshed.configuration.resources import Resource
from finchshed.distribution.messages import (
    ControlToDaemon,
    DaemonToControl,
    Delta,
    Fetch,
    LedgerBegin,
    LedgerCancel,
    LedgerComplete,
    LedgerCompleted,
    LedgerGranted,
    LedgerNoted,
    LedgerRefused,
    LedgerUnknown,
    Subscribe,
)
from finchshed.ledger import results
from finchshed.ledger.ledger import Ledger
from finchshed.link.lines import LineProtocol

WINDOW_SECONDS = 600.0
HEARTBEAT_SECONDS = 0.3


class ScriptedControl:
    """Serves subscriptions and ledger requests on an ephemeral port."""

    def __init__(self, resources: tuple[Resource, ...], revision: int = 1) -> None:
        self.resources = resources
        self.revision = revision
        self.has_quorum = True
        self.grant_delay = 0.0
        self.begun: list[str] = []
        self.cancelled: list[str] = []
        self.completed: dict[str, Answered] = {}
        self.address = ""
        self._ledger = Ledger()
        self._connections: set[LineProtocol[DaemonToControl]] = set()
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "ScriptedControl":
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._protocol, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._heartbeats = loop.create_task(self._send_heartbeats())
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        assert self._heartbeats is not None
        self._heartbeats.cancel()
        self._server.close()
        self.disconnect()

    def publish(self, resources: tuple[Resource, ...]) -> None:
        """Publish a new configuration revision."""
        self.resources = resources
        self.revision += 1
        for connection in self._connections:
            connection.send(self._whole())

    def tell(self, message: ControlToDaemon) -> None:
        """Send a message to every daemon."""
        for connection in self._connections:
            connection.send(message)

    def disconnect(self) -> None:
        """Abort every connection."""
        for connection in list(self._connections):
            connection.abort()

    def _protocol(self) -> LineProtocol[DaemonToControl]:
        return LineProtocol(
            DaemonToControl,
            self._on_message,
            self._connections.add,
            lambda connection, _error: self._connections.discard(connection),
        )

    def _whole(self) -> Delta:
        return Delta(base=0, revision=self.revision, puts=self.resources, confirmed=True)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            unchanged = Delta(base=self.revision, revision=self.revision, confirmed=True)
            for connection in self._connections:
                connection.send(unchanged)

    def _on_message(
        self, connection: LineProtocol[DaemonToControl], message: DaemonToControl
    ) -> None:
        if isinstance(message, Subscribe | Fetch):
            connection.send(self._whole())
        elif isinstance(message, LedgerBegin | LedgerCancel | LedgerComplete):
            answer = self._ledger_answer(message)
            delay = self.grant_delay if isinstance(message, LedgerBegin) else 0.0
            asyncio.get_running_loop().call_later(delay, connection.send, answer)

    def _ledger_answer(
        self, message: LedgerBegin | LedgerCancel | LedgerComplete
    ) -> ControlToDaemon:
        if not self.has_quorum:
            return LedgerRefused(message.request, expired=False, detail="no quorum")
        self._ledger.advance(time.time(), WINDOW_SECONDS)
        if isinstance(message, LedgerBegin):
            self.begun.append(message.key)
            return self._begin_answer(message)
        if isinstance(message, LedgerCancel):
            self.cancelled.append(message.key)
            self._ledger.cancel(message.key, message.attempt)
        else:
            self.completed[message.key] = message.answer
            self._ledger.complete(message.key, message.attempt, message.answer)
        return LedgerNoted(message.request)

    def _begin_answer(self, message: LedgerBegin) -> ControlToDaemon:
        result = self._ledger.begin(message.key, message.attempt)
        if isinstance(result, results.Granted):
            return LedgerGranted(message.request)
        if isinstance(result, results.Completed):
            return LedgerCompleted(message.request, result.answer)
        if isinstance(result, results.OutcomeUnknown):
            return LedgerUnknown(message.request)
        assert isinstance(result, results.LedgerRefusal)
        expired = result.reason is results.LedgerRefusalReason.EXPIRED
        return LedgerRefused(message.request, expired=expired, detail=result.reason)
