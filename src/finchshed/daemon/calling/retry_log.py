"""Log lines about denied retries, at most one per service and interval."""

from loguru import logger

from finchshed.retry.spending import RetryFigures

LOG_INTERVAL_SECONDS = 1.0
"""Minimum interval between two lines about one service, since retries are denied in bursts."""


class RetryDenialLog:
    """Logs what a denied retry was decided on."""

    def __init__(self) -> None:
        self._logged_at: dict[str, float] = {}

    def is_due(self, service: str, now: float) -> bool:
        """Return whether the next denied retry to a service is logged."""
        return now - self._logged_at.get(service, float("-inf")) >= LOG_INTERVAL_SECONDS

    def on_denied(self, service: str, figures: RetryFigures, now: float) -> None:
        """Log the state of the retries to a service."""
        self._logged_at[service] = now
        logger.info(
            "retry to {} denied: {:.1f} of {:.1f} tokens, {:.1f} earned per second, lowest level "
            "{} (counts decayed over {:.0f} s), {:.2f} of the attempts accepted; denied so far {}",
            service,
            figures.tokens,
            figures.capacity,
            figures.earned_per_second,
            figures.lowest_level,
            figures.estimate_seconds,
            figures.acceptance,
            sum(figures.denied.values()),
        )
