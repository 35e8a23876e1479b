"""Detection of downloads that mix ranges of several editions."""

from finchshed.fleet import editions
from finchshed.standins.records import AttemptRecord, CallerOutcome, CallerRecord

OLD, NEW = '"chart-1"', '"chart-2"'


def attempt(status: int, edition: str = "", offset: int = 100) -> AttemptRecord:
    outcome = CallerOutcome.ANSWERED if edition else CallerOutcome.REFUSED
    return AttemptRecord(
        call=f"d/{status}",
        edge="edge",
        begun=1.0,
        ended=2.0,
        outcome=outcome,
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


def is_mixed(*attempts: AttemptRecord) -> bool:
    return bool(editions.find_edition_problems([download(*attempts)], published=False))


def test_ranges_of_two_editions_are_reported() -> None:
    assert is_mixed(attempt(206, OLD), attempt(206, NEW))
    assert is_mixed(attempt(206, OLD), attempt(412, NEW), attempt(206, NEW), attempt(206, OLD))
    assert is_mixed(attempt(206, OLD), attempt(200, NEW), attempt(206, OLD))


def test_restarted_downloads_are_not_reported() -> None:
    assert not is_mixed(attempt(206, OLD), attempt(503), attempt(206, OLD))
    assert not is_mixed(attempt(206, OLD), attempt(412, NEW), attempt(206, NEW), attempt(206, NEW))
    assert not is_mixed(attempt(206, OLD), attempt(200, NEW))
    assert not is_mixed(attempt(206, OLD), attempt(206, NEW, offset=0), attempt(206, NEW))


def test_published_editions_that_no_download_met_are_reported() -> None:
    unchanged = download(attempt(206, OLD), attempt(206, OLD))
    restarted = download(attempt(206, OLD), attempt(412, NEW), attempt(206, NEW))
    assert not editions.saw_new_edition(unchanged)
    assert editions.saw_new_edition(restarted)
    assert editions.find_edition_problems([unchanged], published=True)
    assert not editions.find_edition_problems([unchanged, restarted], published=True)
