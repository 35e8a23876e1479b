"""Opens the durable state of a control node."""

import random
from pathlib import Path

from loguru import logger

from finchshed.common.errors import CorruptRecordError
from finchshed.observability.instruments import Counter
from finchshed.storage.folder import DataFolder
from finchshed.storage.log_store import OpenedStore, open_store, set_aside_damaged_files

LOG_FOLDER = "log"

DAMAGED = Counter(
    "finchshed_control_storage_damaged",
    "Starts that found synced data damaged; the node joined its group anew as a learner",
)


def open_log_folder(data_folder: str) -> DataFolder:
    """Open and lock the folder of the log.

    Raises
    ------
    StorageError
        It can't be opened, or another process holds it.
    """
    return DataFolder(Path(data_folder) / LOG_FOLDER)


def open_durable_state(folder: DataFolder, rng: random.Random) -> OpenedStore:
    """Return the state in ``folder``; damaged state is set aside and a new one is begun.

    A node must never go on with a part of what it once had synced: it would break promises it
    made. With a new incarnation it is a new member, which the group brings up to date.
    """
    try:
        return open_store(folder, rng)
    except CorruptRecordError as error:
        logger.error("durable state is damaged, set aside: {}", error)
        DAMAGED.inc()
        set_aside_damaged_files(folder)
        return open_store(folder, rng)
