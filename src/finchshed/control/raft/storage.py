"""Opens the durable state of a control node."""

import random
from pathlib import Path

from loguru import logger

from finchshed.common.errors import CorruptRecordError
from finchshed.observability.instruments import Counter
from finchshed.storage.folder import DataFolder
from finchshed.storage.log_store import OpenedStore, open_store, set_aside_damaged_files

LOG_FOLDER = "log"

DAMAGED_STARTS = Counter(
    "finchshed_control_storage_damaged",
    "Starts that found synced data damaged; the node joined its group anew as a learner",
)


def open_log_folder(data_folder: str) -> DataFolder:
    """Open and lock the log folder.

    Raises
    ------
    StorageError
        The folder can't be opened, or another process has locked it.
    """
    return DataFolder(Path(data_folder) / LOG_FOLDER)


def open_durable_state(folder: DataFolder, rng: random.Random) -> OpenedStore:
    """Return the state in ``folder``; damaged state is set aside and replaced by an empty one.

    A node must not continue with part of its synced state, because it could contradict votes and
    acknowledgements it has sent. With a new incarnation it rejoins the group as a new member.
    """
    try:
        return open_store(folder, rng)
    except CorruptRecordError as error:
        logger.error("durable state is damaged and was set aside; starting empty: {}", error)
        DAMAGED_STARTS.inc()
        set_aside_damaged_files(folder)
        return open_store(folder, rng)
