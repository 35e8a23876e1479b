"""Writes the journal of a control node in a worker thread, one write at a time.

Owns the thread and the start time of the current write. Relies on
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

DISK_FULL_RETRY_SECONDS = 0.5
"""Delay before retrying a write that failed because the disk is full."""

STALLED_WRITE_SECONDS = 1.0
"""A write in progress for longer than this counts as stalled."""


class JournalWriter:
    """Executes log writes off the event loop."""

    def __init__(self, store: LogStore) -> None:
        self._store = store
        self._thread = ThreadPoolExecutor(max_workers=1, thread_name_prefix="journal")
        self._write_started: float | None = None

    @property
    def is_stalled(self) -> bool:
        """Whether the current write exceeds :data:`STALLED_WRITE_SECONDS`."""
        return (
            self._write_started is not None
            and clock.now() - self._write_started > STALLED_WRITE_SECONDS
        )

    @property
    def journal_bytes(self) -> int:
        """Size of the journal file."""
        return self._store.journal_bytes

    async def write(self, writes: list[Write]) -> WriteOutcome:
        """Write and sync; if the disk is full, return only after a delay.

        Raises
        ------
        InvariantError
            The write failed, so the contents of the disk are unknown.
        """
        started = self._write_started = clock.now()
        loop = asyncio.get_running_loop()
        try:
            outcome = await loop.run_in_executor(self._thread, self._store.write, writes)
        except StorageError as error:
            raise InvariantError(f"journal write failed: {error}") from error
        finally:
            self._write_started = None
        metrics.WRITE_SECONDS.observe(clock.now() - started)
        if outcome is not WriteOutcome.DURABLE:
            logger.error("disk full, retrying the journal write in {} s", DISK_FULL_RETRY_SECONDS)
            await asyncio.sleep(DISK_FULL_RETRY_SECONDS)
        return outcome

    async def close(self) -> None:
        """Wait for pending writes and stop the thread."""
        await asyncio.get_running_loop().run_in_executor(None, self._thread.shutdown)
