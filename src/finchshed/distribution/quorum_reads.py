"""Reads from a quorum that a hub's subscribers wait for, one at a time.

Owns the read in progress and the ticket of the next one. Relies on the replicated log, through
``confirm``, for the answer.
"""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from finchshed.common.errors import FinchshedError

CONFIRMATION_PAUSE_SECONDS = 0.05
"""Least time between reads from a quorum: one read answers all that came in meanwhile.

A daemon that claims a higher revision than is in force waits for it for as long as it stays;
without a pause such a claim would keep the node busy. Chosen, not measured."""


class QuorumReads:
    """Confirms tickets of a hub.

    Parameters
    ----------
    confirm
        Reads the latest revision from a quorum and returns True once it is applied to the hub;
        False or a :class:`FinchshedError` if no quorum answered.
    on_confirmed
        Called with each ticket that a quorum confirmed.
    """

    def __init__(
        self, confirm: Callable[[], Awaitable[bool]], on_confirmed: Callable[[int], None]
    ) -> None:
        self._confirm = confirm
        self._on_confirmed = on_confirmed
        self._ticket: int | None = None
        self._reading: asyncio.Task[None] | None = None

    def request(self, ticket: int) -> None:
        """Confirm ``ticket``, which stands for every earlier one as well."""
        self._ticket = ticket
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read_until_idle())

    def close(self) -> None:
        """End the read in progress."""
        if self._reading is not None:
            self._reading.cancel()

    async def _read_until_idle(self) -> None:
        while self._ticket is not None:
            ticket, self._ticket = self._ticket, None
            try:
                confirmed = await self._confirm()
            except FinchshedError as error:
                logger.debug("no confirmation by a quorum: {}", error)
                confirmed = False
            if confirmed:
                self._on_confirmed(ticket)
            await asyncio.sleep(CONFIRMATION_PAUSE_SECONDS)
