"""Endpoints a daemon may call: those in the configuration and those registered by heartbeat.

Changes to either set are applied to the routing table and the links.
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

REGISTRATION_RETENTION_SECONDS = 3_600.0
"""How long a registration is kept. Control normally removes registrations earlier; a daemon cut off
from control goes on with those it has."""

MAX_LOGGED_REGISTRATIONS = 8
"""Registrations of one update that get a log line each; the rest are summarized, since formatting
lines blocks the event loop."""

MAX_PRECONNECTED_ENDPOINTS = 64
"""With at most this many registered endpoints, links are opened before the first call."""


class KnownEndpoints:
    """Applies declared and registered endpoints to the routing table and the links."""

    def __init__(self, table: RoutingTable, links: DaemonLinks) -> None:
        self._table = table
        self._links = links
        self._directory = Directory(REGISTRATION_RETENTION_SECONDS)
        self._declared: dict[str, Endpoint] = {}

    def __len__(self) -> int:
        """Return the number of registered daemons."""
        return len(self._directory)

    def set_declared(self, declared: dict[str, Endpoint]) -> None:
        """Replace the endpoints declared in the configuration."""
        self._declared = declared
        self._apply()

    def on_update(self, update: DirectoryUpdate) -> None:
        """Merge an update; registrations it lacks are kept, as control may have just started."""
        now = clock.now()
        present = self._directory.present_addresses(update.registrations)
        changed = self._directory.merge(update.registrations, now)
        # A daemon that reports no back end matters only if one was registered there before.
        reported = [item for item in changed if item.instance or item.address in present]
        _log_registrations(reported)
        for registration in reported:
            self._table.on_registration(registration, now)
        dropped = self._directory.drop(update.forgotten)
        if dropped:
            logger.info("removed the registrations of back ends at {}", ", ".join(update.forgotten))
        if reported or dropped:
            self._apply()

    def registration_of(self, address: str) -> Registration | None:
        """Return the registration of the daemon at ``address``, if any."""
        return self._directory.get(address)

    def _apply(self) -> None:
        registered = self._directory.endpoints()
        endpoints = {**registered, **self._declared}
        self._table.replace(endpoints.values(), clock.now())
        self._links.set_endpoints(endpoints)
        if len(registered) <= MAX_PRECONNECTED_ENDPOINTS:
            self._links.open_links(tuple(registered.values()))


def _log_registrations(reported: list[Registration]) -> None:
    for registration in reported[:MAX_LOGGED_REGISTRATIONS]:
        logger.info(
            "told of back end {} of {} at {}: {}, epoch {}, serial {}",
            registration.instance,
            registration.service,
            registration.address,
            registration.state,
            registration.epoch,
            registration.serial,
        )
    if len(reported) > MAX_LOGGED_REGISTRATIONS:
        counts = Counter(
            f"{item.service} {item.state}" for item in reported[MAX_LOGGED_REGISTRATIONS:]
        )
        text = ", ".join(f"{count} of {what}" for what, count in sorted(counts.items()))
        logger.info("told of {} more back ends: {}", len(reported) - MAX_LOGGED_REGISTRATIONS, text)
