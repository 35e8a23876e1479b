"""Tests of the rate limit that a back end names in its answers."""

import pytest

from finchshed.daemon.backend.rate_limit_header import read_rate_limit
from finchshed.limit.named_rate import NamedRateLimit
from finchshed.limit.rate_notice import NO_LIMIT_NAMED, RateLimitNotice


@pytest.mark.parametrize(
    ("text", "limit"), [(b"5.7", 5.7), (b"0", 0.0), (b" 12 ", 12.0), (b"999999999.5", 999999999.5)]
)
def test_decimal_number_is_read(text: bytes, limit: float) -> None:
    assert read_rate_limit([text]) == RateLimitNotice(limit)


@pytest.mark.parametrize(
    "values",
    [
        [b""],
        [b"few"],
        [b"nan"],
        [b"inf"],
        [b"-3"],
        [b"1e3"],
        [b"5,7"],
        [b"9" * 400],
        [b"5", b"7"],
        [b"5", b"5"],
        ["٣".encode()],
        [b"5\x00"],
    ],
)
def test_unreadable_value_is_quoted_in_bounded_form(values: list[bytes]) -> None:
    notice = read_rate_limit(values)
    assert notice.requests_per_second is None
    assert notice.unreadable
    assert len(notice.unreadable) < 200


def test_answer_without_the_header_names_no_limit() -> None:
    assert read_rate_limit([]) == NO_LIMIT_NAMED


def test_limit_holds_until_an_answer_names_none() -> None:
    named = NamedRateLimit()
    assert named.on_answer(RateLimitNotice(5.0), 1.0, 1.0)
    assert not named.on_answer(RateLimitNotice(5.0), 2.0, 2.0)
    assert named.on_answer(RateLimitNotice(3.0), 3.0, 3.0)
    assert named.on_answer(RateLimitNotice(8.0), 4.0, 4.0)
    assert named.requests_per_second == 8.0
    assert named.on_answer(NO_LIMIT_NAMED, 5.0, 5.0)
    assert named.requests_per_second is None


def test_answer_that_began_earlier_does_not_revert_the_limit() -> None:
    named = NamedRateLimit()
    named.on_answer(RateLimitNotice(5.0), 2.0, 2.0)
    assert not named.on_answer(NO_LIMIT_NAMED, 1.0, 1.0)
    assert not named.on_answer(RateLimitNotice(50.0), 1.5, 1.5)
    assert named.requests_per_second == 5.0


def test_answer_to_a_request_sent_before_the_limit_was_named_does_not_end_it() -> None:
    named = NamedRateLimit()
    named.on_answer(RateLimitNotice(5.0), 1.0, 2.0)
    assert not named.on_answer(NO_LIMIT_NAMED, 1.9, 2.1)
    assert named.requests_per_second == 5.0
    named.on_answer(RateLimitNotice(5.0), 1.9, 2.2)
    assert not named.on_answer(NO_LIMIT_NAMED, 2.1, 2.3)
    assert named.on_answer(NO_LIMIT_NAMED, 2.2, 2.4)
    assert named.requests_per_second is None


def test_unreadable_value_changes_nothing() -> None:
    named = NamedRateLimit()
    assert not named.on_answer(read_rate_limit([b"few"]), 1.0, 1.0)
    assert named.requests_per_second is None
    named.on_answer(RateLimitNotice(5.0), 2.0, 2.0)
    assert not named.on_answer(read_rate_limit([b"nan"]), 3.0, 3.0)
    assert named.requests_per_second == 5.0


def test_limit_told_by_a_caller_holds_until_the_back_end_answers() -> None:
    named = NamedRateLimit()
    assert named.on_caller(6.0)
    assert named.on_caller(4.0)
    assert not named.on_caller(9.0)
    assert named.requests_per_second == 4.0
    assert named.on_answer(NO_LIMIT_NAMED, 1.0, 1.0)
    assert not named.on_caller(4.0)
    assert named.requests_per_second is None


def test_new_run_of_the_back_end_starts_without_a_limit() -> None:
    named = NamedRateLimit()
    named.on_answer(RateLimitNotice(5.0), 10.0, 10.0)
    assert named.on_new_run()
    assert named.requests_per_second is None
    assert named.on_answer(RateLimitNotice(2.0), 10.0, 10.0)
    assert not NamedRateLimit().on_new_run()
