"""Log lines and metrics of calls that avoided a back end because it reports that it is slow."""

from loguru import logger

from finchshed.common.units import MILLISECONDS
from finchshed.daemon import metrics
from finchshed.routing.avoided_endpoints import AvoidedEndpoint
from finchshed.routing.table import RoutingTable


class AvoidedEndpointReport:
    """Reports what happened since the last time; called periodically."""

    def __init__(self, table: RoutingTable) -> None:
        self._table = table
        self._reported: dict[str, tuple[int, int]] = {}

    def write(self, now: float) -> None:
        """Update the metrics and write the log lines."""
        for service, avoided_endpoints in self._table.avoided_endpoints():
            if not avoided_endpoints.total and not avoided_endpoints.left_zone:
                continue
            total, left_zone = self._reported.get(service, (0, 0))
            metrics.SLOW_AVOIDED.labels(service).inc(avoided_endpoints.total - total)
            metrics.LEFT_ZONE.labels(service).inc(avoided_endpoints.left_zone - left_zone)
            self._reported[service] = (avoided_endpoints.total, avoided_endpoints.left_zone)
            for notice in avoided_endpoints.take_notices():
                _log(service, notice, now)


def _log(service: str, notice: AvoidedEndpoint, now: float) -> None:
    logger.info(
        "call of {} sent to {} instead of {}: slowdown {:.2f} reported {:.0f} ms before, "
        "{} requests ahead, expected {:.0f} ms, there {:.0f} ms; decided {:.0f} ms ago",
        service,
        notice.chosen,
        notice.endpoint,
        notice.slowdown,
        notice.report_age * MILLISECONDS,
        notice.requests_ahead,
        notice.expected_seconds * MILLISECONDS,
        notice.chosen_seconds * MILLISECONDS,
        (now - notice.at) * MILLISECONDS,
    )
