"""Bytes of an answer that go on without end are given up, wherever they stand."""

import pytest

from finchshed.common.memory_budget import HoldingKind, MemoryBudget
from finchshed.daemon.backend.addressee import Addressee
from finchshed.daemon.backend.answer_parser import HEADER_BYTES, MAX_HEAD_BYTES, AnswerParser
from finchshed.http.framing import MAX_FRAMING_BYTES, MAX_FRAMING_BYTES_AT_ONCE

MAX_BODY_BYTES = 1 << 20
READ_BYTES = 8_192
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"


def make_parser(budget: MemoryBudget | None = None) -> AnswerParser:
    holding = (budget or MemoryBudget(1 << 30)).open(HoldingKind.ONE_REQUEST, lambda: None)
    parser = AnswerParser(lambda headers: Addressee.REQUEST, holding)
    parser.begin(is_head=False, max_body_bytes=MAX_BODY_BYTES, skips_extra=False)
    return parser


def bytes_until_given_up(begin: bytes, repeated: bytes, limit: int) -> int:
    """Return how many bytes of an endless answer were taken, at most ``limit``."""
    parser = make_parser()
    assert not parser.feed(begin)
    piece = repeated * max(1, READ_BYTES // len(repeated))
    taken = 0
    while taken < limit:
        taken += len(piece)
        if parser.feed(piece) or parser.is_too_large:
            return taken
    return limit


@pytest.mark.parametrize(
    ("begin", "repeated", "bound"),
    [
        (b"HTTP/1.1 200 O", b"K", MAX_HEAD_BYTES),
        (OK, b"x", MAX_HEAD_BYTES),
        (OK + b"a: ", b"x", MAX_HEAD_BYTES),
        (OK, b"a: b\r\n", MAX_HEAD_BYTES),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n", MAX_HEAD_BYTES),
        (CHUNKED + b"1;a=", b"x", MAX_FRAMING_BYTES_AT_ONCE),
        (CHUNKED + b"1\r\nx\r\n0\r\na: ", b"x", MAX_FRAMING_BYTES_AT_ONCE),
        (CHUNKED + b"1\r\nx\r\n0\r\n", b"a: b\r\n", MAX_FRAMING_BYTES_AT_ONCE),
        (CHUNKED, b"1;a=b\r\nx\r\n", 2 * MAX_FRAMING_BYTES),
        (CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n", MAX_BODY_BYTES),
        (OK + b"\r\n", b"x", MAX_BODY_BYTES),
    ],
    ids=[
        "status line",
        "header name",
        "header value",
        "headers",
        "interim answers",
        "chunk extension",
        "trailer",
        "trailers",
        "small chunks",
        "chunks",
        "until the connection ends",
    ],
)
def test_an_endless_answer_is_given_up_at_its_bound(
    begin: bytes, repeated: bytes, bound: int
) -> None:
    slack = 4 * READ_BYTES
    assert bytes_until_given_up(begin, repeated, 2 * bound + slack) <= bound + slack


def test_a_body_that_is_declared_too_large_is_given_up_before_it_comes() -> None:
    parser = make_parser()
    parser.feed(OK + b"content-length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1))
    assert parser.is_too_large


@pytest.mark.parametrize("status", [204, 304])
def test_an_answer_without_a_body_may_declare_any_length(status: int) -> None:
    parser = make_parser()
    parser.feed(b"HTTP/1.1 %d None\r\ncontent-length: 1000000000\r\n\r\n" % status)
    assert not parser.is_too_large


@pytest.mark.parametrize("chunk_bytes", [7, 64, 4096])
def test_small_chunks_of_an_honest_answer_are_taken(chunk_bytes: int) -> None:
    parser = make_parser()
    size = chunk_bytes * 4_000
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    data = CHUNKED + chunk * 4_000 + b"0\r\n\r\n"
    if size > MAX_BODY_BYTES:
        data, size = CHUNKED + chunk * 200 + b"0\r\n\r\n", chunk_bytes * 200
    for start in range(0, len(data), READ_BYTES):
        assert parser.feed(data[start : start + READ_BYTES]) == ""
    assert parser.is_complete
    assert len(parser.take_body()) == size


def test_an_answer_that_finds_no_memory_is_given_up_and_frees_what_it_held() -> None:
    budget = MemoryBudget(100_000)
    parser = make_parser(budget)
    parser.feed(OK + b"content-length: 200000\r\n\r\n")
    for _ in range(20):
        parser.feed(b"x" * READ_BYTES)
    assert parser.is_too_large
    assert budget.held == 0


def test_a_body_that_is_taken_is_no_longer_held() -> None:
    budget = MemoryBudget(100_000)
    parser = make_parser(budget)
    parser.feed(OK + b"content-length: 50000\r\n\r\n" + b"x" * 50_000)
    assert parser.is_complete
    head = sum(HEADER_BYTES + len(name) + len(value) for name, value in parser.headers)
    assert budget.held == head + 50_000
    parser.take_body()
    assert budget.held == 0


def test_the_body_of_an_interim_answer_is_no_part_of_the_answer() -> None:
    parser = make_parser()
    interim = b"HTTP/1.1 199 Interim\r\ncontent-length: 3\r\n\r\nabc"
    assert parser.feed(interim + OK + b"content-length: 2\r\n\r\nok") == ""
    assert (parser.status, parser.take_body()) == (200, b"ok")
