"""Serializes the quorum reads that a hub's subscribers wait for.

Owns the read in progress and the ticket of the next one.
"""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from finchshed.common.errors import FinchshedError

CONFIRMATION_PAUSE_SECONDS = 0.05
"""Pause between quorum reads; one read serves all requests that arrived in the meantime.

Without it, a daemon that claims a revision higher than the committed one would trigger reads
continuously, because it keeps waiting for a confirmation."""


class QuorumReads:
    """Confirms a hub's tickets by quorum reads, one at a time.

    Parameters
    ----------
    confirm
        Reads the latest revision from a quorum and returns True once it is applied to the hub.
        Returns False or raises :class:`FinchshedError` if no quorum answered.
    on_confirmed
        Called with each confirmed ticket.
    """

    def __init__(
        self, confirm: Callable[[], Awaitable[bool]], on_confirmed: Callable[[int], None]
    ) -> None:
        self._confirm = confirm
        self._on_confirmed = on_confirmed
        self._ticket: int | None = None
        self._reading: asyncio.Task[None] | None = None

    def request(self, ticket: int) -> None:
        """Request confirmation of ``ticket`` and all earlier ones."""
        self._ticket = ticket
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read_until_idle())

    def close(self) -> None:
        """Cancel the read in progress."""
        if self._reading is not None:
            self._reading.cancel()

    async def _read_until_idle(self) -> None:
        while self._ticket is not None:
            ticket, self._ticket = self._ticket, None
            try:
                confirmed = await self._confirm()
            except FinchshedError as error:
                logger.debug("quorum read failed: {}", error)
                confirmed = False
            if confirmed:
                self._on_confirmed(ticket)
            await asyncio.sleep(CONFIRMATION_PAUSE_SECONDS)
