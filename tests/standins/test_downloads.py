"""Conditional range responses and how a caller verifies them."""

import pytest

from finchshed.common.context import HEADER_SESSION
from finchshed.standins import answers, downloads
from finchshed.standins.outgoing import OutgoingRequest, StandinReply, find_reply_problem
from finchshed.standins.settings import StandinLoad

PATH = "/edition/bay"
SIZE = 250
OLD, NEW = (answers.edition_tag(PATH, number) for number in (1, 2))
RANGE = answers.RangeRequest(first=100, last=199)
COMPLETE = answers.RangeRequest(first=0, last=SIZE - 1)


def range_of_new_edition(**sent: str) -> downloads.DownloadResponse:
    headers = {name.replace("_", "-"): value for name, value in sent.items()}
    return downloads.download_response(PATH, 2, SIZE, RANGE, headers)


@pytest.mark.parametrize("sent", [{}, {"If_Match": NEW}, {"If_Range": NEW}])
def test_matching_or_absent_condition_gives_the_range(sent: dict[str, str]) -> None:
    answer = range_of_new_edition(**sent)
    assert (answer.status, answer.body) == (206, answers.edition_bytes(PATH, 2, RANGE))
    assert answer.headers["Content-Range"] == "bytes 100-199/250"
    assert answer.headers["ETag"] == NEW


def test_if_match_of_another_edition_fails() -> None:
    assert (range_of_new_edition(If_Match=OLD).status, range_of_new_edition(If_Match=OLD).body) == (
        412,
        b"",
    )


def test_if_range_of_another_edition_gives_the_complete_edition() -> None:
    answer = range_of_new_edition(If_Range=OLD)
    assert (answer.status, answer.body) == (200, answers.edition_bytes(PATH, 2, COMPLETE))
    assert "Content-Range" not in answer.headers


def outgoing(*, conditional: bool) -> OutgoingRequest:
    load = StandinLoad(
        name="edition",
        service="charts",
        path=PATH,
        rate_per_second=1.0,
        download_bytes=SIZE,
        range_bytes=100,
        conditional=conditional,
    )
    return OutgoingRequest(
        request="d-1",
        load=load,
        phase="all",
        caller="ferry",
        session="s",
        wanted=RANGE,
        validator=OLD,
    )


def reply(answer: downloads.DownloadResponse) -> StandinReply:
    headers = {name.lower(): value for name, value in answer.headers.items()}
    return StandinReply(answer.status, {**headers, answers.HEADER_IDENTITY: "d-1"}, answer.body)


def test_only_conditional_downloads_send_if_match() -> None:
    assert outgoing(conditional=True).headers()["If-Match"] == OLD
    unconditional = outgoing(conditional=False).headers()
    assert "If-Match" not in unconditional
    assert unconditional[HEADER_SESSION] == "s"


@pytest.mark.parametrize("conditional", [True, False])
def test_range_of_another_edition_is_a_problem_but_the_complete_edition_is_not(
    conditional: bool,
) -> None:
    sent = outgoing(conditional=conditional)
    assert "edition changed" in find_reply_problem(sent, reply(range_of_new_edition()), b"")
    assert find_reply_problem(sent, reply(range_of_new_edition(If_Range=OLD)), b"") == ""


def test_truncated_complete_edition_is_a_problem() -> None:
    answer = range_of_new_edition(If_Range=OLD)
    truncated = downloads.DownloadResponse(answer.status, answer.body[:-1], answer.headers)
    assert find_reply_problem(outgoing(conditional=False), reply(truncated), b"") != ""
