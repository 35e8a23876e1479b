"""Writes the journal of a control node in a thread, one write at a time.

Owns the thread and the time the write in progress began. Relies on
:class:`~finchshed.storage.log_store.LogStore` for the files.
"""

import asyncio
from concurrent.futures import ThreadPoolExecutor

from loguru import logger

from finchshed.common.errors import InvariantError, StorageError
from finchshed.control.raft import metrics
from finchshed.runtime import clock
from finchshed.storage.log_store import LogStore, WriteOutcome
from finchshed.storage.records import Write

DISK_RETRY_SECONDS = 0.5
"""Pause before a write that found the disk full is tried again. Chosen, not measured."""

STUCK_WRITE_SECONDS = 1.0
"""A write that runs for longer than this keeps the node from applying anything new. Chosen, not
measured."""


class JournalWriter:
    """Carries writes of the log out, off the event loop."""

    def __init__(self, store: LogStore) -> None:
        self._store = store
        self._thread = ThreadPoolExecutor(max_workers=1, thread_name_prefix="journal")
        self._started: float | None = None

    @property
    def is_stuck(self) -> bool:
        """Whether a write has been running for long."""
        return self._started is not None and clock.now() - self._started > STUCK_WRITE_SECONDS

    @property
    def journal_bytes(self) -> int:
        """Size of the journal file."""
        return self._store.journal_bytes

    async def write(self, writes: list[Write]) -> WriteOutcome:
        """Write and sync; return after a pause when the disk is full.

        Raises
        ------
        InvariantError
            The disk failed: what it holds is not known any more.
        """
        started = self._started = clock.now()
        loop = asyncio.get_running_loop()
        try:
            outcome = await loop.run_in_executor(self._thread, self._store.write, writes)
        except StorageError as error:
            raise InvariantError(f"the disk failed: {error}") from error
        finally:
            self._started = None
        metrics.WRITE_SECONDS.observe(clock.now() - started)
        if outcome is not WriteOutcome.DURABLE:
            logger.error("the disk is full; trying again")
            await asyncio.sleep(DISK_RETRY_SECONDS)
        return outcome

    async def close(self) -> None:
        """Return once what was handed in is written."""
        await asyncio.get_running_loop().run_in_executor(None, self._thread.shutdown)
