"""Marker file that records whether a node may bootstrap the control group.

Only a node that was present at the first deployment may form the group. A node that starts later
with an empty disk must not, because the group already exists even if this node can't reach it. The
marker preserves the permission across restarts before the group has formed.
"""

from pathlib import Path

from finchshed.storage.folder import DataFolder

MARKER_FOLDER = "first-start"
MARKER_FILE = "may-form-group"


def may_form_group(data_folder: str, *, is_first_start: bool) -> bool:
    """Return whether this node may form the group; on a first start, write the marker first.

    Raises
    ------
    StorageError
        The marker can't be written.
    """
    folder = DataFolder(Path(data_folder) / MARKER_FOLDER)
    try:
        if MARKER_FILE in folder.names():
            return True
        if is_first_start:
            folder.append(MARKER_FILE, b"\n")
            folder.sync(MARKER_FILE)
            folder.sync_folder()
        return is_first_start
    finally:
        folder.close()
