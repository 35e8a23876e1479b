"""Checks that a download that overlaps a publication joins ranges of one edition only.

Callers verify each range separately; this check compares the validators of all ranges.
"""

from collections.abc import Iterable, Iterator

from finchshed.standins.downloads import (
    FULL_CONTENT_STATUS,
    PARTIAL_CONTENT_STATUS,
    PRECONDITION_FAILED_STATUS,
)
from finchshed.standins.records import CallerOutcome, CallerRecord

NAME = "downloads of one edition"
NEW_EDITION_STATUSES = frozenset({PRECONDITION_FAILED_STATUS, FULL_CONTENT_STATUS})
"""Statuses of a range request that show that the edition has changed."""


def saw_new_edition(record: CallerRecord) -> bool:
    """Return whether a download met a new edition while it ran."""
    return _is_download(record) and any(
        attempt.status in NEW_EDITION_STATUSES for attempt in record.attempts
    )


def find_edition_problems(records: Iterable[CallerRecord], *, published: bool) -> list[str]:
    """Return a line for each download that joined ranges of several editions.

    Parameters
    ----------
    published
        Whether new editions were published during the run. If no download met one, the check has
        no evidence and reports that as a problem.
    """
    downloads = [record for record in records if _is_download(record)]
    lines = [line for record in downloads for line in _find_mixed_editions(record)]
    if published and not any(saw_new_edition(record) for record in downloads):
        lines.append("editions were published, but no download met a new one")
    return lines


def _is_download(record: CallerRecord) -> bool:
    return any(attempt.edition for attempt in record.attempts)


def _find_mixed_editions(record: CallerRecord) -> Iterator[str]:
    # A download restarts at its first byte, with 412, or with a complete new edition.
    validators: list[str] = []
    for attempt in record.attempts:
        if attempt.outcome is not CallerOutcome.ANSWERED:
            continue
        if attempt.status in NEW_EDITION_STATUSES or attempt.offset == 0:
            validators = []
        if attempt.status in {PARTIAL_CONTENT_STATUS, FULL_CONTENT_STATUS}:
            validators.append(attempt.edition)
        if len(set(validators)) > 1:
            yield f"{attempt.call}: parts of editions {', '.join(sorted(set(validators)))}"
            return
