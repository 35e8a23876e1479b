import pytest

from finchshed.link.digests import digest_of
from finchshed.proof.history import HEADER_ANSWER_DIGEST
from finchshed.standins import answers


def headers_for(identity: str, body: bytes, sent: bytes = b"") -> dict[str, str]:
    return {
        answers.HEADER_IDENTITY: identity,
        HEADER_ANSWER_DIGEST: digest_of(body),
        answers.HEADER_REQUEST_DIGEST: digest_of(sent),
    }


def test_complete_answer_to_own_request_has_no_problem() -> None:
    body = answers.answer_body("a.0", 500)
    assert len(body) >= 500
    assert answers.find_answer_problem("a.0", body, headers_for("a.0", body), b"") == ""


def test_answer_to_another_request_is_reported() -> None:
    body = answers.answer_body("b.0", 500)
    assert "names request 'b.0'" in answers.find_answer_problem(
        "a.0", body, headers_for("b.0", body), b""
    )
    assert "not the answer" in answers.find_answer_problem(
        "a.0", body, headers_for("a.0", body), b""
    )


def test_truncated_answer_is_reported() -> None:
    body = answers.answer_body("a.0", 500)
    assert "digest" in answers.find_answer_problem("a.0", body[:-1], headers_for("a.0", body), b"")


def test_changed_request_body_is_reported() -> None:
    body = answers.answer_body("a.0", 50)
    headers = headers_for("a.0", body, b"sent")
    assert "another request body" in answers.find_answer_problem("a.0", body, headers, b"other")


def test_ranges_of_an_edition_join_to_the_complete_content() -> None:
    complete = answers.edition_bytes("/chart", 3, answers.RangeRequest(0, 999))
    ranges = [
        answers.edition_bytes("/chart", 3, answers.RangeRequest(first, min(first + 93, 999)))
        for first in range(0, 1000, 94)
    ]
    assert b"".join(ranges) == complete
    assert answers.edition_bytes("/chart", 4, answers.RangeRequest(0, 999)) != complete


@pytest.mark.parametrize("header", ["bytes=5-4", "items=0-1", "bytes=-5", "bytes=0-", ""])
def test_unsupported_ranges_are_rejected(header: str) -> None:
    assert answers.parse_range(header) is None


def test_range_is_parsed() -> None:
    assert answers.parse_range("bytes=10-19") == answers.RangeRequest(10, 19)
