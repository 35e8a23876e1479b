"""Data folders that the code wrote once are opened by today's code."""

import shutil
from pathlib import Path

from tests.forms import codecs
from tests.forms.samples_made import (
    CONTROL_FOLDER,
    CONTROL_FOUND,
    DAEMON_FOLDER,
    SAMPLES,
    content_of,
)
from tests.forms.scenario import FIRST, LATER


def test_a_control_nodes_folder_gives_the_same_state(tmp_path: Path) -> None:
    folder = tmp_path / "data"
    shutil.copytree(SAMPLES / CONTROL_FOLDER, folder)
    expected = (SAMPLES / CONTROL_FOUND).read_bytes()
    assert codecs.read_control_folder(folder).splitlines() == expected.splitlines()
    assert content_of(folder) == content_of(SAMPLES / CONTROL_FOLDER)


def test_a_control_nodes_folder_is_written_the_same(tmp_path: Path) -> None:
    codecs.write_control_folder(tmp_path, FIRST, LATER)
    assert content_of(tmp_path) == content_of(SAMPLES / CONTROL_FOLDER)


def test_a_daemons_folder_is_read_and_written_the_same(tmp_path: Path) -> None:
    source = tmp_path / "source"
    shutil.copytree(SAMPLES / DAEMON_FOLDER, source)
    codecs.copy_daemon_folder(source, tmp_path / "target")
    assert content_of(tmp_path / "target") == content_of(SAMPLES / DAEMON_FOLDER)


def test_the_platforms_document_is_taken_the_same() -> None:
    source = (SAMPLES / "inputs" / "platform_document.json").read_bytes()
    expected = (SAMPLES / "platform_document_typed.json").read_bytes()
    assert codecs.document_as_typed(source).splitlines() == expected.splitlines()
