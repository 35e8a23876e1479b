"""Decides whether a back end that said that it is draining has returned.

The daemon stays when its back end is restarted, so it must find out when to take work again. The
back end's ``/health`` may lag or mislead: a good answer counts at once only if the back end was
seen gone before, since then another process answers; a back end that was never seen gone must say
for a while that it is well. So a health endpoint that lags behind a drain brings new work to a
draining back end at most once in that while. Pure; relies on being given each result with its time.
"""

from finchshed.daemon.backend.client import BackendAnswer, BackendResult, BackendUnreached
from finchshed.http.status import STATUS_OK

STABLE_SECONDS = 5.0
"""Seconds that a back end that was never seen gone must say that it is well; chosen, not
measured."""


class ReturnDetector:
    """Decides from answers to health checks whether a draining back end has returned."""

    def __init__(self) -> None:
        self._was_unreachable = False
        self._healthy_since: float | None = None

    def has_returned(self, result: BackendResult, now: float) -> bool:
        """Judge the result of one check; return whether the back end takes work again."""
        if isinstance(result, BackendUnreached):
            self._was_unreachable = True
        if not _is_healthy(result):
            self._healthy_since = None
            return False
        if self._healthy_since is None:
            self._healthy_since = now
        return self._was_unreachable or now - self._healthy_since >= STABLE_SECONDS


def _is_healthy(result: BackendResult) -> bool:
    return isinstance(result, BackendAnswer) and result.status == STATUS_OK and not result.draining
