"""All endpoints a daemon may call: those declared, and those that registered themselves.

Owns the directory of registrations. Relies on control for both, and keeps routing table and links
in step with them.
"""

from collections import Counter

from loguru import logger

from finchshed.configuration.resources import Endpoint
from finchshed.daemon.calling.daemon_links import DaemonLinks
from finchshed.directory.registration import Registration
from finchshed.directory.table import Directory
from finchshed.distribution.messages import DirectoryUpdate
from finchshed.routing.table import RoutingTable
from finchshed.runtime import clock

FORGET_SECONDS = 3_600.0
"""Seconds. Control says what is to be forgotten; without it a daemon goes on with what it knows.
Chosen, not measured."""

MAX_LOGGED = 8
"""Registrations of one update that are logged each by itself: a line takes 0.1 ms to make. The
number is chosen, not measured."""

MAX_GREETED = 64
"""Up to so many registered endpoints are linked before the first call; chosen, not measured."""


class KnownEndpoints:
    """Keeps routing table and links in step with declarations and registrations."""

    def __init__(self, table: RoutingTable, links: DaemonLinks) -> None:
        self._table = table
        self._links = links
        self._directory = Directory(FORGET_SECONDS)
        self._declared: dict[str, Endpoint] = {}

    def __len__(self) -> int:
        """Return the number of daemons that registered."""
        return len(self._directory)

    def declare(self, declared: dict[str, Endpoint]) -> None:
        """Use the endpoints of the configuration."""
        self._declared = declared
        self._apply()

    def on_update(self, update: DirectoryUpdate) -> None:
        """Merge registrations. A control node that just started doesn't know them all yet."""
        now = clock.now()
        present = self._directory.present_addresses(update.registrations)
        news = self._directory.merge(update.registrations, now)
        # A daemon that has just started and knows of no back end is no news where none was known.
        reported = [item for item in news if item.instance or item.address in present]
        _log(reported)
        dropped = self._directory.drop(update.forgotten)
        if dropped:
            logger.info("back ends at {} are forgotten", ", ".join(update.forgotten))
        if reported or dropped:
            self._apply()

    def registration_of(self, address: str) -> Registration | None:
        """Return what is held of the daemon at ``address``."""
        return self._directory.get(address)

    def _apply(self) -> None:
        registered = self._directory.endpoints()
        endpoints = {**registered, **self._declared}
        self._table.replace(endpoints.values(), clock.now())
        self._links.replace(endpoints)
        if len(registered) <= MAX_GREETED:
            self._links.greet(tuple(registered.values()))


def _log(reported: list[Registration]) -> None:
    for registration in reported[:MAX_LOGGED]:
        logger.info(
            "told of back end {} of {} at {}: {}, epoch {}, serial {}",
            registration.instance,
            registration.service,
            registration.address,
            registration.state,
            registration.epoch,
            registration.serial,
        )
    if len(reported) > MAX_LOGGED:
        counts = Counter(f"{item.service} {item.state}" for item in reported[MAX_LOGGED:])
        text = ", ".join(f"{count} of {what}" for what, count in sorted(counts.items()))
        logger.info("told of {} more back ends: {}", len(reported) - MAX_LOGGED, text)
