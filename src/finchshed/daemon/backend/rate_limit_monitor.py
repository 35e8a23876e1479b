"""Follows the rate limit that the back end names in its answers, with log lines and metrics."""

from collections.abc import Callable

from loguru import logger

from finchshed.common.min_interval import MinInterval
from finchshed.daemon import metrics
from finchshed.daemon.backend.events import AnswerEvent
from finchshed.daemon.endpoint_identity import EndpointIdentity
from finchshed.directory.instance_run import InstanceRun
from finchshed.limit.named_rate import NamedRateLimit
from finchshed.runtime import clock

MIN_LOG_INTERVAL_SECONDS = 1.0
"""Minimum interval between log lines about a figure that changes or can't be read."""

NO_LIMIT_GAUGE = -1.0
"""Value of the gauge while the back end names no limit."""


class RateLimitMonitor:
    """Applies the limits named in answers.

    Parameters
    ----------
    identity
        Names the back end and its service in log lines.

    Attributes
    ----------
    on_change
        Called with the limit in force, in requests per second, or None, after each change.
    """

    def __init__(self, identity: EndpointIdentity) -> None:
        self.on_change: Callable[[float | None], None] = _ignore_change
        self._identity = identity
        self._named = NamedRateLimit()
        self._run = InstanceRun()
        self._log_interval = MinInterval(MIN_LOG_INTERVAL_SECONDS)
        metrics.RATE_LIMIT.set(NO_LIMIT_GAUGE)

    @property
    def requests_per_second(self) -> float | None:
        """The limit in force, or None."""
        return self._named.requests_per_second

    @property
    def is_known(self) -> bool:
        """Whether it is known if there is a limit."""
        return self._named.is_known

    def on_caller(self, requests_per_second: float, caller: str) -> None:
        """Process the limit that a calling daemon was told of, before the back end has answered."""
        before = self.requests_per_second
        if self._named.on_caller(requests_per_second):
            self._apply(before, f"daemon {caller}")

    def start_run(self, run: InstanceRun) -> None:
        """Forget the limit of an earlier run."""
        self._run = run
        before = self.requests_per_second
        if self._named.on_new_run():
            self._apply(before, f"the start of {run.label}")

    def on_answer(self, event: AnswerEvent) -> None:
        """Process an answer to a call; one of an earlier run says nothing of this one."""
        if not event.run.is_same(self._run):
            return
        notice = event.answer.rate_limit
        if notice.unreadable:
            self._report_unreadable(event.request, notice.unreadable)
        before = self.requests_per_second
        received_at = event.answer.head_received_at
        if self._named.on_answer(notice, event.sent_at, received_at):
            age_ms = (clock.now() - received_at) * 1000.0
            self._apply(before, f"request {event.request}, {age_ms:.1f} ms ago")

    def _apply(self, before: float | None, source: str) -> None:
        limit = self.requests_per_second
        metrics.RATE_LIMIT.set(NO_LIMIT_GAUGE if limit is None else limit)
        is_start_or_end = before is None or limit is None
        if is_start_or_end or self._log_interval.has_passed(clock.now()):
            logger.info(
                "rate limit of back end {} of {}: {}, before: {}, told by {}",
                self._identity.name,
                self._identity.service,
                _text_of(limit),
                _text_of(before),
                source,
            )
        self.on_change(limit)

    def _report_unreadable(self, request: str, value: str) -> None:
        metrics.RATE_LIMIT_UNREADABLE.inc()
        if self._log_interval.has_passed(clock.now()):
            logger.warning(
                "back end {} names an unreadable rate limit in its answer to request {}: {}",
                self._identity.name,
                request,
                value,
            )


def _ignore_change(_requests_per_second: float | None) -> None:
    """Do nothing: the owner sets its own callback."""


def _text_of(limit: float | None) -> str:
    return "none" if limit is None else f"{limit:g} requests/s"
