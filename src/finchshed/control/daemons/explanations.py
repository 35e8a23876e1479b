"""Asks daemons for their recent decisions.

Owns the questions that wait for an answer. Relies on the daemon to answer in time.
"""

import asyncio

from finchshed.distribution.messages import Decision, ExplainReply, ExplainRequest
from finchshed.distribution.server import HubServer

ANSWER_SECONDS = 2.0
"""Longest wait for a daemon's answer. Chosen, not measured."""


class Explanations:
    """Requests to daemons that wait for an answer."""

    def __init__(self) -> None:
        self._waiting: dict[int, asyncio.Future[tuple[Decision, ...]]] = {}
        self._last_request = 0

    def on_reply(self, message: ExplainReply) -> None:
        """Take a daemon's answer; one that comes too late is dropped."""
        future = self._waiting.get(message.request)
        if future is not None and not future.done():
            future.set_result(message.decisions)

    async def ask(
        self, server: HubServer, node: str, root: str, limit: int
    ) -> tuple[Decision, ...] | None:
        """Return recent decisions of the daemon ``node``, or None when it can't be asked here."""
        self._last_request += 1
        request = self._last_request
        if not server.send_to(node, ExplainRequest(request, root, limit)):
            return None
        future: asyncio.Future[tuple[Decision, ...]] = asyncio.get_running_loop().create_future()
        self._waiting[request] = future
        try:
            return await asyncio.wait_for(future, ANSWER_SECONDS)
        except TimeoutError:
            return None
        finally:
            del self._waiting[request]
