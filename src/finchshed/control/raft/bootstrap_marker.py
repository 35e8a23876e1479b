"""Remembers on a node's disk that it was there when its group was to be formed.

Only such a node may form the group. One that starts later on an empty disk must not: its group has
been formed, whatever the nodes it can reach at that moment say. The mark keeps the right over a
restart that comes before the group was formed.
"""

from pathlib import Path

from finchshed.storage.folder import DataFolder

FOLDER = "first-start"
MARK = "may-form-group"


def may_form_group(data_folder: str, *, is_first_start: bool) -> bool:
    """Return whether this node may form the group; a first start is marked before that.

    Raises
    ------
    StorageError
        The folder can't be written.
    """
    folder = DataFolder(Path(data_folder) / FOLDER)
    try:
        if MARK in folder.names():
            return True
        if is_first_start:
            folder.append(MARK, b"\n")
            folder.sync(MARK)
            folder.sync_folder()
        return is_first_start
    finally:
        folder.close()
