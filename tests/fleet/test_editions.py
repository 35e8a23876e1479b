"""Downloads are put together from one edition, or said to be mixed."""

from finchshed.fleet import editions
from finchshed.standins.records import AttemptRecord, CallerOutcome, CallerRecord

OLD, NEW = '"chart-1"', '"chart-2"'


def attempt(status: int, edition: str = "", offset: int = 100) -> AttemptRecord:
    answered = CallerOutcome.ANSWERED if edition else CallerOutcome.REFUSED
    return AttemptRecord(
        call=f"d/{status}",
        edge="edge",
        begun=1.0,
        ended=2.0,
        outcome=answered,
        ran="yes" if edition else "no",
        status=status,
        edition=edition,
        offset=offset,
    )


def download(*attempts: AttemptRecord) -> CallerRecord:
    return CallerRecord(
        request="d",
        load="edition",
        phase="all",
        service="charts",
        caller="ferry",
        begun=1.0,
        ended=9.0,
        outcome=attempts[-1].outcome,
        attempts=attempts,
        session="d-1",
    )


def mixed(*attempts: AttemptRecord) -> bool:
    return bool(editions.problems_of([download(*attempts)], published=False))


def test_parts_of_two_editions_are_a_mixture() -> None:
    assert mixed(attempt(206, OLD), attempt(206, NEW))
    assert mixed(attempt(206, OLD), attempt(412, NEW), attempt(206, NEW), attempt(206, OLD))
    assert mixed(attempt(206, OLD), attempt(200, NEW), attempt(206, OLD))


def test_a_download_begun_anew_is_no_mixture() -> None:
    assert not mixed(attempt(206, OLD), attempt(503), attempt(206, OLD))
    assert not mixed(attempt(206, OLD), attempt(412, NEW), attempt(206, NEW), attempt(206, NEW))
    assert not mixed(attempt(206, OLD), attempt(200, NEW))
    assert not mixed(attempt(206, OLD), attempt(206, NEW, offset=0), attempt(206, NEW))


def test_editions_that_no_download_met_prove_nothing() -> None:
    calm = download(attempt(206, OLD), attempt(206, OLD))
    renewed = download(attempt(206, OLD), attempt(412, NEW), attempt(206, NEW))
    assert not editions.saw_new_edition(calm)
    assert editions.saw_new_edition(renewed)
    assert editions.problems_of([calm], published=True)
    assert not editions.problems_of([calm, renewed], published=True)
