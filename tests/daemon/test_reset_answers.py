"""Guards against a cut answer that is taken as whole because its connection ended.

An answer without a length ends with its connection. uvloop tells of a reset that it finds behind
unread bytes as of an orderly end, as happens when the loop was held up for a moment.
"""

import pytest

from finchshed.daemon.backend.client import BackendAnswer, BackendBroken
from tests.daemon.held_up_loop import (
    LOOPS,
    End,
    NewLoop,
    close,
    half_close,
    half_close_and_reset,
    reset,
    result_of,
)

HEAD = b"HTTP/1.1 200 OK\r\nfinchshed-request: r1\r\n"
UNFRAMED = HEAD + b"\r\npart"
UPLOADS = [0, 1_000, 100_000, 1_000_000, 4_000_000]

for_each_loop = pytest.mark.parametrize("new_loop", LOOPS.values(), ids=LOOPS)
for_each_upload = pytest.mark.parametrize("upload_bytes", UPLOADS)
HELD_UP = [pytest.param(False, id="awake"), pytest.param(True, id="held up")]


@for_each_loop
@for_each_upload
@pytest.mark.parametrize(
    ("end", "is_held_up"), [(reset, False), (reset, True), (half_close_and_reset, True)]
)
def test_an_answer_whose_connection_was_reset_is_broken(
    new_loop: NewLoop, upload_bytes: int, end: End, is_held_up: bool
) -> None:
    for _ in range(3):
        result = result_of(
            UNFRAMED, end, b"x" * upload_bytes, new_loop=new_loop, is_held_up=is_held_up
        )
        assert isinstance(result, BackendBroken), result


@for_each_loop
@pytest.mark.parametrize(
    ("end", "upload_bytes"),
    [*((close, size) for size in UPLOADS[:3]), *((half_close, size) for size in UPLOADS)],
)
@pytest.mark.parametrize("is_held_up", HELD_UP)
def test_an_answer_that_ended_in_good_order_is_whole(
    new_loop: NewLoop, end: End, upload_bytes: int, is_held_up: bool
) -> None:
    result = result_of(UNFRAMED, end, b"x" * upload_bytes, new_loop=new_loop, is_held_up=is_held_up)
    assert isinstance(result, BackendAnswer), result
    assert result.body == b"part"
