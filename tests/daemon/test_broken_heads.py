"""Guards against bytes that are no answer, and are taken for one or waited upon.

A status above 599 was passed on. One below 100 was taken for an interim answer, and the request
waited for another until its deadline. What the parser's library refuses is held here, too, so that
another version of it doesn't change that unnoticed.
"""

import pytest

from finchshed.common.memory_budget import HoldingKind, MemoryBudget
from finchshed.daemon.backend.addressee import Addressee
from finchshed.daemon.backend.answer_parser import AnswerParser
from finchshed.daemon.backend.client import BackendAnswer, BackendBroken
from tests.daemon.broken_heads import BODY, IDENTITY, broken_answers
from tests.daemon.held_up_loop import LOOPS, End, NewLoop, half_close, reset, result_of

WHOLE = b"HTTP/1.1 200 OK\r\n" + IDENTITY + b"server: some\r\n" + BODY
HEAD_BYTES = WHOLE.index(b"\r\n\r\n") + 4
CUT_EVERY_BYTES = 7


def make_parser() -> AnswerParser:
    holding = MemoryBudget(1 << 20).open(HoldingKind.ONE_REQUEST, lambda: None)
    parser = AnswerParser(lambda headers: Addressee.REQUEST, holding)
    parser.begin(is_head=False, max_body_bytes=1 << 20, skips_extra=False)
    return parser


def problem_of(answer: bytes, piece_bytes: int) -> str:
    parser = make_parser()
    for start in range(0, len(answer), piece_bytes):
        problem = parser.feed(answer[start : start + piece_bytes])
        if problem:
            return problem
    return ""


@pytest.mark.parametrize("answer", broken_answers().values(), ids=broken_answers())
def test_bytes_that_are_no_answer_are_refused_at_once(answer: bytes) -> None:
    assert problem_of(answer, len(answer)).startswith("malformed answer")
    assert problem_of(answer, 1).startswith("malformed answer")


@pytest.mark.parametrize("code", [200, 299, 301, 404, 500, 599])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_valid_statuses_and_versions_are_taken(code: int, version: str) -> None:
    for before in ("", "\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\n"):
        parser = make_parser()
        line = f"{before}HTTP/{version} {code} X\r\n".encode()
        assert not parser.feed(line + IDENTITY + BODY)
        assert parser.is_complete
        assert parser.status == code


@pytest.mark.parametrize("name", ["status 000", "status 600", "name with 0x20", "name with 0x01"])
@pytest.mark.parametrize("new_loop", LOOPS.values(), ids=LOOPS)
def test_a_connection_breaks_such_an_answer_at_once(name: str, new_loop: NewLoop) -> None:
    result = result_of(broken_answers()[name], half_close, b"", new_loop=new_loop, is_held_up=False)
    assert isinstance(result, BackendBroken), result


@pytest.mark.parametrize("new_loop", LOOPS.values(), ids=LOOPS)
@pytest.mark.parametrize("is_held_up", [False, True], ids=["awake", "held up"])
@pytest.mark.parametrize("end", [half_close, reset])
def test_a_head_that_ends_in_its_middle_is_no_answer(
    new_loop: NewLoop, is_held_up: bool, end: End
) -> None:
    for size in (*range(0, HEAD_BYTES, CUT_EVERY_BYTES), HEAD_BYTES, HEAD_BYTES + 1):
        result = result_of(WHOLE[:size], end, b"", new_loop=new_loop, is_held_up=is_held_up)
        assert isinstance(result, BackendBroken), (size, result)
        assert ("head whole" in result.detail) == (size >= HEAD_BYTES)


@pytest.mark.parametrize("new_loop", LOOPS.values(), ids=LOOPS)
@pytest.mark.parametrize("end", [half_close, reset])
@pytest.mark.parametrize("upload_bytes", [0, 4_000_000])
def test_an_answer_with_a_length_is_whole_before_its_request_is_sent(
    new_loop: NewLoop, end: End, upload_bytes: int
) -> None:
    result = result_of(WHOLE, end, b"x" * upload_bytes, new_loop=new_loop, is_held_up=True)
    assert isinstance(result, BackendAnswer), result
