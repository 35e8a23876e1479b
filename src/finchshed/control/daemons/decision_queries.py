"""Queries daemons for their recent decisions.

Owns the queries that wait for a reply.
"""

import asyncio

from finchshed.distribution.messages import Decision, ExplainReply, ExplainRequest
from finchshed.distribution.server import HubServer

REPLY_TIMEOUT_SECONDS = 2.0
"""Timeout of a daemon's reply."""


class DecisionQueries:
    """Queries sent to daemons, by request identifier."""

    def __init__(self) -> None:
        self._pending: dict[int, asyncio.Future[tuple[Decision, ...]]] = {}
        self._last_request_id = 0

    def on_reply(self, message: ExplainReply) -> None:
        """Complete the query that ``message`` answers; late replies are dropped."""
        future = self._pending.get(message.request)
        if future is not None and not future.done():
            future.set_result(message.decisions)

    async def ask(
        self, server: HubServer, node: str, root: str, limit: int
    ) -> tuple[Decision, ...] | None:
        """Return recent decisions of daemon ``node``; None if not connected here or on timeout."""
        self._last_request_id += 1
        request = self._last_request_id
        if not server.send_to(node, ExplainRequest(request, root, limit)):
            return None
        future: asyncio.Future[tuple[Decision, ...]] = asyncio.get_running_loop().create_future()
        self._pending[request] = future
        try:
            return await asyncio.wait_for(future, REPLY_TIMEOUT_SECONDS)
        except TimeoutError:
            return None
        finally:
            del self._pending[request]
