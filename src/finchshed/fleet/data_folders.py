"""Operations of the fault injector on data folders of processes."""

import pathlib
import shutil


def wipe_folder(folder: str) -> None:
    """Empty a data folder, as if its disk had been replaced."""
    if folder:
        shutil.rmtree(folder, ignore_errors=True)
        pathlib.Path(folder).mkdir(parents=True)


def largest_file_bytes(folder: pathlib.Path) -> int:
    """Return the size of the largest file under ``folder``."""
    sizes = [path.stat().st_size for path in folder.rglob("*") if path.is_file()]
    return max(sizes, default=0)
