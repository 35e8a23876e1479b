"""Logs what a planned stop leaves unfinished when its time is over."""

from collections.abc import Iterable

from loguru import logger

from finchshed.daemon.calling.outgoing_call import OutgoingCall
from finchshed.http.server import ConnectionCounts

MAX_NAMED_REQUESTS = 64
"""Requests that are named; the others are counted only."""


def log_unfinished(calls: Iterable[OutgoingCall]) -> None:
    """Name the requests that are still in progress, and where each is."""
    for call in list(calls)[:MAX_NAMED_REQUESTS]:
        request = call.request
        logger.warning(
            "request {} of {} is in progress at the end of the stop: taken {:.2f} s ago, "
            "sending {} to {}",
            request.identity or request.context.root,
            request.service,
            call.seconds,
            call.sent_attempts,
            call.endpoint or "no endpoint yet",
        )


def log_connections(servers: Iterable[ConnectionCounts]) -> None:
    """Say how many connections of callers are closed, and what they were waiting for."""
    counts = list(servers)
    logger.info(
        "the stop is over: closing connections of callers, {} waiting for an answer, {} with a part"
        " of one unsent, {} with a request in part, {} idle",
        sum(one.answering for one in counts),
        sum(one.sending for one in counts),
        sum(one.reading for one in counts),
        sum(one.idle for one in counts),
    )
