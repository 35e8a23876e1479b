"""Calls of a service that avoided an endpoint because it reports that it is slow. No I/O.

Counted for metrics, and kept with their reasons for log lines.
"""

from collections import deque

import msgspec

from finchshed.routing.endpoint import EndpointView
from finchshed.routing.expected_finish import finish_seconds

NOTICE_INTERVAL_SECONDS = 1.0
"""Minimum interval between two notices about one endpoint."""

MAX_NOTICES = 16
"""Maximum number of notices of a service that are kept until they are read; the oldest go first."""


class AvoidedEndpoint(msgspec.Struct, frozen=True, gc=False):
    """Why a call was not sent to a slow endpoint.

    Attributes
    ----------
    endpoint, chosen
        Names of the slow endpoint and of the one used instead.
    slowdown
        Reported slowdown.
    report_age
        Age of the report, seconds.
    requests_ahead
        Requests ahead of the call at the slow endpoint.
    expected_seconds, chosen_seconds
        Expected times until the call has finished.
    at
        Time of the decision, monotonic seconds.
    """

    endpoint: str
    chosen: str
    slowdown: float
    report_age: float
    requests_ahead: int
    expected_seconds: float
    chosen_seconds: float
    at: float


class AvoidedEndpoints:
    """Calls of one service that avoided a slow endpoint.

    Attributes
    ----------
    total
        Number of choices between two endpoints in which the avoided one was slow.
    left_zone
        Number of calls sent to another zone, as the near endpoint is slow or would queue them.
    """

    def __init__(self) -> None:
        self.total = 0
        self.left_zone = 0
        self._notices: deque[AvoidedEndpoint] = deque(maxlen=MAX_NOTICES)

    def sooner(
        self,
        first: EndpointView,
        second: EndpointView,
        service_latency: float,
        now: float,
        *,
        margin: float,
    ) -> EndpointView:
        """Return the endpoint that is expected to finish a call sooner.

        Parameters
        ----------
        service_latency
            Mean latency of the service, seconds.
        margin
            The second one must be below this fraction of the first one's time.
        """
        first_seconds = finish_seconds(first, service_latency, now)
        second_seconds = finish_seconds(second, service_latency, now)
        if second_seconds < margin * first_seconds:
            chosen, avoided, seconds = second, first, (second_seconds, first_seconds)
        else:
            chosen, avoided, seconds = first, second, (first_seconds, second_seconds)
        is_slow = now < avoided.work.slow_until
        leaves_zone = chosen is second and chosen.endpoint.zone != avoided.endpoint.zone
        self.total += is_slow
        if is_slow or leaves_zone:
            self._note(avoided, chosen, seconds, now)
        return chosen

    def take_notices(self) -> list[AvoidedEndpoint]:
        """Return the notices since the last call."""
        notices = list(self._notices)
        self._notices.clear()
        return notices

    def _note(
        self,
        avoided: EndpointView,
        chosen: EndpointView,
        seconds: tuple[float, float],
        now: float,
    ) -> None:
        """Keep a notice, unless there was one about this endpoint within the interval."""
        work = avoided.work
        if now - work.noticed_at < NOTICE_INTERVAL_SECONDS:
            return
        work.noticed_at = now
        notice = AvoidedEndpoint(
            endpoint=avoided.endpoint.name,
            chosen=chosen.endpoint.name,
            slowdown=work.slowdown(now),
            report_age=avoided.report_age(now),
            requests_ahead=work.requests_ahead(avoided.in_flight, now),
            expected_seconds=seconds[1],
            chosen_seconds=seconds[0],
            at=now,
        )
        self._notices.append(notice)
