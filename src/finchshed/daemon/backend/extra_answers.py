"""Logs and counts what a back end sends on a connection in place of, or beside, an answer."""

import time

from finchshed.daemon import metrics
from finchshed.daemon.backend.client import ConnectionUse
from finchshed.observability import log_stream
from finchshed.observability.decisions import ExtraAnswer


def log_extra_answer(use: ConnectionUse, size: int, *, awaited: str = "", named: str = "") -> None:
    """Log bytes that answer no request, or another one than the one in progress.

    Parameters
    ----------
    use
        Connection, and the latest request on it.
    size
        Number of bytes.
    awaited
        Identity of the request that waits for its answer; empty if none does.
    named
        Identity that the answer names; empty if it names none or wasn't read.
    """
    metrics.EXTRA_ANSWERS.inc()
    record = ExtraAnswer(time.time(), awaited, use.connection, use.request, size, named)
    log_stream.emit(record, is_failure=True)
