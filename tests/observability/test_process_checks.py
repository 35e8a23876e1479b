import os
import subprocess
import sys
from multiprocessing import shared_memory

import pytest

from finchshed.common.errors import InvariantError
from finchshed.observability import process_checks


def test_this_process_has_no_io_uring() -> None:
    process_checks.require_no_io_uring()


def test_an_io_uring_descriptor_violates_an_invariant(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        process_checks, "_descriptor_targets", lambda _process: ["anon_inode:[io_uring]"]
    )
    with pytest.raises(InvariantError, match="io_uring"):
        process_checks.require_no_io_uring()


def test_shared_memory_segment_is_found() -> None:
    before = process_checks.shared_memory_segments()
    segment = shared_memory.SharedMemory(create=True, size=64)
    try:
        found = set(process_checks.shared_memory_segments()) - set(before)
    finally:
        segment.close()
        segment.unlink()
    assert any(segment.name.strip("/") in name for name in found)


def test_child_process_is_found() -> None:
    command = [sys.executable, "-c", "input()"]
    with subprocess.Popen(command, stdin=subprocess.PIPE) as child:
        assert child.pid in process_checks.child_processes(os.getpid())
        child.communicate(b"\n")
    assert child.pid not in process_checks.child_processes()
