"""What a calling daemon knows of the runs of back ends. No I/O.

The state of an endpoint is dropped when its daemon restarts or its registration is gone for a
moment. What the back end said of itself still holds then, since its process runs on.
"""

import msgspec

MAX_REMEMBERED_RUNS = 8192
"""Maximum number of back ends that are remembered; more than a deployment has."""


class BackendRun(msgspec.Struct):
    """One run of a back end.

    Attributes
    ----------
    rate_limit
        Requests per second that it accepts from all callers together; None if it names no limit.
    is_leaving
        Whether it said that it leaves for good.
    """

    rate_limit: float | None = None
    is_leaving: bool = False


class BackendRuns:
    """Runs by the names of their endpoints; the oldest are forgotten when there are too many."""

    def __init__(self) -> None:
        self._runs: dict[str, BackendRun] = {}

    def of(self, name: str) -> BackendRun:
        """Return the current run of an endpoint's back end."""
        run = self._runs.get(name)
        if run is None:
            if len(self._runs) >= MAX_REMEMBERED_RUNS:
                del self._runs[next(iter(self._runs))]
            run = self._runs[name] = BackendRun()
        return run
