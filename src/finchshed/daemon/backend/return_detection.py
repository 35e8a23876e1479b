"""Decides when a draining back end accepts calls again, from its health checks.

``/health`` may lag behind the drain. If the back end was unreachable in between, a new process must
be answering, so one healthy answer suffices. Otherwise it must stay healthy for ``STABLE_SECONDS``.
"""

from finchshed.daemon.backend.client import BackendAnswer, BackendResult, BackendUnreached
from finchshed.http.status import STATUS_OK

STABLE_SECONDS = 5.0
"""How long a back end that was never unreachable must stay healthy."""


class ReturnDetector:
    """Tracks the health checks of a draining back end until it has returned."""

    def __init__(self) -> None:
        self._was_unreachable = False
        self._healthy_since: float | None = None

    def has_returned(self, result: BackendResult, now: float) -> bool:
        """Process the result of a check; return whether the back end accepts calls again."""
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
