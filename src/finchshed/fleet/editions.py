"""Whether downloads that ran while new editions came out were put together from one edition.

A caller checks each range against the edition that it names; this looks at whole downloads, from
the validators of all their parts.
"""

from collections.abc import Iterable, Iterator

from finchshed.standins.downloads import (
    FULL_CONTENT_STATUS,
    PARTIAL_CONTENT_STATUS,
    PRECONDITION_FAILED_STATUS,
)
from finchshed.standins.records import CallerOutcome, CallerRecord

NAME = "downloads of one edition"
NEW_EDITION = frozenset({PRECONDITION_FAILED_STATUS, FULL_CONTENT_STATUS})
"""Statuses that tell a caller, who asked for a range, of another edition."""


def saw_new_edition(record: CallerRecord) -> bool:
    """Return whether a download's edition was replaced while it ran."""
    return _is_download(record) and any(
        attempt.status in NEW_EDITION for attempt in record.attempts
    )


def problems_of(records: Iterable[CallerRecord], *, published: bool) -> list[str]:
    """Return a line for each download that put parts of several editions together.

    Parameters
    ----------
    published
        Whether new editions came out during the run; then some download must have met one, or
        nothing was shown.
    """
    downloads = [record for record in records if _is_download(record)]
    lines = [line for record in downloads for line in _mixed(record)]
    if published and not any(saw_new_edition(record) for record in downloads):
        lines.append("editions were published, but no download met a new one")
    return lines


def _is_download(record: CallerRecord) -> bool:
    return any(attempt.edition for attempt in record.attempts)


def _mixed(record: CallerRecord) -> Iterator[str]:
    # A download begins anew with its first byte, or with a whole new edition.
    parts: list[str] = []
    for attempt in record.attempts:
        if attempt.outcome is not CallerOutcome.ANSWERED:
            continue
        if attempt.status in NEW_EDITION or attempt.offset == 0:
            parts = []
        if attempt.status in {PARTIAL_CONTENT_STATUS, FULL_CONTENT_STATUS}:
            parts.append(attempt.edition)
        if len(set(parts)) > 1:
            yield f"{attempt.call}: parts of editions {', '.join(sorted(set(parts)))}"
            return
