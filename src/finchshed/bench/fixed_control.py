"""A control node for measurements of daemons: one configuration that never changes.

It answers subscriptions with the whole configuration as confirmed, and sends the heartbeats of a
control node, so that a daemon's control traffic is as in operation while no control group runs.
"""

import asyncio

from finchshed.configuration.resources import Resource
from finchshed.distribution.messages import (
    ControlToDaemon,
    DaemonToControl,
    Delta,
    Fetch,
    Subscribe,
)
from finchshed.link.lines import LineProtocol
from finchshed.tls.credentials import Credentials
from finchshed.tls.handshakes import Server, listening_socket, start_server

HEARTBEAT_SECONDS = 0.5
"""As a control node with its default settings sends them."""

REVISION = 1


class FixedControl:
    """Serves ``resources`` to daemons on a free port of the loopback interface."""

    def __init__(self, resources: tuple[Resource, ...] = ()) -> None:
        self.resources = resources
        self.address = ""
        self._lines: set[LineProtocol[DaemonToControl]] = set()
        self._server: Server | None = None
        self.credentials: Credentials | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await start_server(
            self._make_protocol, self.credentials, listening_socket("127.0.0.1", 0)
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._heartbeats = loop.create_task(self._send_heartbeats())

    def stop(self) -> None:
        """Close the listener and every connection."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()
        for lines in list(self._lines):
            lines.abort()

    def _make_protocol(self) -> LineProtocol[DaemonToControl]:
        return LineProtocol(
            DaemonToControl,
            self._on_message,
            self._lines.add,
            lambda lines, _error: self._lines.discard(lines),
        )

    def _on_message(self, lines: LineProtocol[DaemonToControl], message: DaemonToControl) -> None:
        if isinstance(message, Subscribe | Fetch):
            whole: ControlToDaemon = Delta(
                base=0, revision=REVISION, puts=self.resources, confirmed=True
            )
            lines.send(whole)

    async def _send_heartbeats(self) -> None:
        unchanged = Delta(base=REVISION, revision=REVISION, confirmed=True)
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for lines in self._lines:
                lines.send(unchanged)
