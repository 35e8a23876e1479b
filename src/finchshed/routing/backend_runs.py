"""What a calling daemon knows of the runs of back ends. No I/O.

The state of an endpoint is dropped when its daemon restarts or its registration is gone for a
moment. What the back end said of itself still holds then, since its process runs on.
"""

import msgspec

from finchshed.directory.registration import Registration

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
    born_ms
        Its start, Unix milliseconds; 0 if unknown.
    registered_at
        Epoch and serial of the newest registration seen of it.
    """

    born_ms: int = 0
    registered_at: tuple[int, int] = (0, 0)
    rate_limit: float | None = None
    is_leaving: bool = False


class BackendRuns:
    """Runs by the names of their endpoints; the oldest are forgotten when there are too many."""

    def __init__(self) -> None:
        self._runs: dict[str, BackendRun] = {}

    def on_registration(self, registration: Registration) -> bool:
        """Follow the run that a registration names; return whether another one has ended by it.

        Registrations may arrive late, over the control plane or a link; the newest one decides.
        """
        if not registration.instance or not registration.born_ms:
            return False
        run = self.of(registration.instance)
        version = (registration.epoch, registration.serial)
        if version < run.registered_at:
            return False
        run.registered_at = version
        if run.born_ms in {0, registration.born_ms}:
            run.born_ms = registration.born_ms
            return False
        self._runs[registration.instance] = BackendRun(registration.born_ms, version)
        return True

    def of(self, name: str) -> BackendRun:
        """Return the current run of an endpoint's back end."""
        run = self._runs.get(name)
        if run is None:
            if len(self._runs) >= MAX_REMEMBERED_RUNS:
                del self._runs[next(iter(self._runs))]
            run = self._runs[name] = BackendRun()
        return run
