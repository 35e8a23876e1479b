"""Ranges of an edition, and what a caller makes of them."""

import pytest

from finchshed.common.context import HEADER_SESSION
from finchshed.standins import answers, downloads
from finchshed.standins.outgoing import Outgoing, StandinReply, problem_of
from finchshed.standins.settings import StandinLoad

PATH = "/edition/bay"
SIZE = 250
OLD, NEW = (answers.edition_tag(PATH, number) for number in (1, 2))
SPAN = answers.RangeRequest(first=100, last=199)
WHOLE = answers.RangeRequest(first=0, last=SIZE - 1)


def part(**asked: str) -> downloads.Part:
    headers = {name.replace("_", "-"): value for name, value in asked.items()}
    return downloads.part_of(PATH, 2, SIZE, SPAN, headers)


@pytest.mark.parametrize("asked", [{}, {"If_Match": NEW}, {"If_Range": NEW}])
def test_a_range_of_the_edition_held(asked: dict[str, str]) -> None:
    told = part(**asked)
    assert (told.status, told.body) == (206, answers.edition_bytes(PATH, 2, SPAN))
    assert told.headers["Content-Range"] == "bytes 100-199/250"
    assert told.headers["ETag"] == NEW


def test_under_if_match_another_edition_is_refused() -> None:
    assert (part(If_Match=OLD).status, part(If_Match=OLD).body) == (412, b"")


def test_under_if_range_another_edition_comes_whole() -> None:
    told = part(If_Range=OLD)
    assert (told.status, told.body) == (200, answers.edition_bytes(PATH, 2, WHOLE))
    assert "Content-Range" not in told.headers


def outgoing(*, conditional: bool) -> Outgoing:
    load = StandinLoad(
        name="edition",
        service="charts",
        path=PATH,
        rate_per_second=1.0,
        download_bytes=SIZE,
        range_bytes=100,
        conditional=conditional,
    )
    return Outgoing(
        request="d-1",
        load=load,
        phase="all",
        caller="ferry",
        session="s",
        wanted=SPAN,
        validator=OLD,
    )


def reply(told: downloads.Part) -> StandinReply:
    headers = {name.lower(): value for name, value in told.headers.items()}
    return StandinReply(told.status, {**headers, answers.HEADER_IDENTITY: "d-1"}, told.body)


def test_only_a_conditional_download_names_its_edition() -> None:
    assert outgoing(conditional=True).headers()["If-Match"] == OLD
    relying = outgoing(conditional=False).headers()
    assert "If-Match" not in relying
    assert relying[HEADER_SESSION] == "s"


@pytest.mark.parametrize("conditional", [True, False])
def test_a_part_of_another_edition_is_a_problem_and_the_whole_is_not(conditional: bool) -> None:
    asked = outgoing(conditional=conditional)
    assert "edition changed" in problem_of(asked, reply(part()), b"")
    assert problem_of(asked, reply(part(If_Range=OLD)), b"") == ""


def test_a_whole_cut_short_is_a_problem() -> None:
    told = part(If_Range=OLD)
    cut = downloads.Part(told.status, told.body[:-1], told.headers)
    assert problem_of(outgoing(conditional=False), reply(cut), b"") != ""
