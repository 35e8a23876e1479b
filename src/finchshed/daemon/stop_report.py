"""Logs what the callers of a daemon wait for when its planned stop is over."""

from collections.abc import Iterable

from loguru import logger

from finchshed.http.server import ConnectionCounts


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
