"""Maintains the registration of a daemon's back end from its heartbeats. No I/O.

Only this daemon can reach the back end, so its decisions take effect immediately: a draining back
end receives no new requests once it has announced the drain, even before others learn of it.

Heartbeats may be delayed, duplicated or sent by an earlier run of the back end. Each run numbers
its heartbeats, and only a number higher than the last one seen counts. Runs are ordered by their
starts, also under one instance name. Owns the registration, which the daemon sends to its callers
and to the control nodes.
"""

import msgspec

from finchshed.directory.instance_run import InstanceRun
from finchshed.directory.registration import InstanceState, Registration

MAX_REMEMBERED_RUNS = 64
"""Maximum number of back-end runs whose last sequence number is kept."""


class BackendHeartbeat(msgspec.Struct, frozen=True):
    """A back end's report about itself; ``sequence`` rises with each heartbeat of a run.

    ``born_ms`` is the start of the run in Unix milliseconds, 0 if it isn't told;
    ``cold_remaining_seconds`` is the time until it is warm.
    """

    instance: str
    service: str
    slots: int
    sequence: int
    is_draining: bool = False
    born_ms: int = 0
    cold_remaining_seconds: float = 0.0

    @property
    def run(self) -> InstanceRun:
        """The run that sent it."""
        return InstanceRun(self.instance, self.born_ms)


class _SeenRun(msgspec.Struct):
    """Last sequence number and drain state reported by a run."""

    sequence: int
    is_draining: bool


class Registrar:
    """Maintains the registration of one daemon's back end.

    Parameters
    ----------
    address
        Address on which this daemon accepts other daemons' connections.
    epoch
        Number of this run of the daemon, higher than those of its earlier runs if they are known.
    silence_seconds
        Time without a heartbeat after which the back end is considered gone.

    Attributes
    ----------
    latest_heartbeat
        The last heartbeat that counted; None before the first.
    """

    def __init__(
        self, address: str, zone: str, region: str, *, epoch: int, silence_seconds: float
    ) -> None:
        self.registration = Registration(address, epoch, 0, zone=zone, region=region)
        self.latest_heartbeat: BackendHeartbeat | None = None
        self._silence_seconds = silence_seconds
        self._seen: dict[InstanceRun, _SeenRun] = {}
        self._last_contact_at = 0.0

    @property
    def run(self) -> InstanceRun:
        """The registered run."""
        return self.registration.run

    def on_heartbeat(self, heartbeat: BackendHeartbeat, now: float) -> bool:
        """Process a heartbeat and return whether the registration changed."""
        run = heartbeat.run
        if not self._may_register(run):
            return False
        seen = self._find_run(run)
        if seen is not None and heartbeat.sequence <= seen.sequence:
            return False
        if seen is None:
            seen = self._add_run(run)
        seen.sequence = heartbeat.sequence
        seen.is_draining = seen.is_draining or heartbeat.is_draining
        self._last_contact_at = now
        self.latest_heartbeat = heartbeat
        state = InstanceState.LEAVING if seen.is_draining else InstanceState.READY
        return self._update(
            instance=run.instance,
            born_ms=run.born_ms,
            service=heartbeat.service,
            slots=heartbeat.slots,
            state=state,
        )

    def on_health(self, instance: str, service: str, slots: int, now: float) -> bool:
        """Register a back end found by a health check before its first heartbeat.

        Instances known from heartbeats are left unchanged, because a health check doesn't report
        draining.
        """
        if self.run.instance or any(run.instance == instance for run in self._seen):
            return False
        self._add_run(InstanceRun(instance))
        self._last_contact_at = now
        return self._update(
            instance=instance, service=service, slots=slots, state=InstanceState.READY
        )

    def on_leave(self, instance: str, born_ms: int = 0) -> bool:
        """Mark a run as draining and return whether the registration changed."""
        run = InstanceRun(instance, born_ms)
        is_current = run.is_same(self.run)
        if is_current and self.run.born_ms:
            run = self.run
        seen = self._find_run(run) or self._add_run(run)
        seen.is_draining = True
        if not is_current or self.registration.state is InstanceState.GONE:
            return False
        return self._update(state=InstanceState.LEAVING)

    def on_unreachable(self) -> bool:
        """Mark the back end gone because it refuses connections; its next heartbeat restores it."""
        if self.registration.state is not InstanceState.READY:
            return False
        return self._update(state=InstanceState.GONE)

    def on_misdirected(self, instance: str) -> bool:
        """Mark the back end gone because it isn't ``instance``; return whether that is new."""
        if instance != self.registration.instance:
            return False
        return self.on_unreachable()

    def tick(self, now: float) -> bool:
        """Apply the heartbeat timeout and return whether the registration changed."""
        is_present = self.registration.state is not InstanceState.GONE
        if is_present and now - self._last_contact_at > self._silence_seconds:
            return self._update(state=InstanceState.GONE)
        return False

    def on_own_registration(self, registration: Registration) -> bool:
        """Compare with the registration of this address held by others.

        Returns whether the own registration must be sent again. A run that an earlier run of the
        daemon registered as leaving still leaves. A clock that was set back may have given this run
        of the daemon a lower epoch than an earlier one; it is raised above that.
        """
        if registration.state is InstanceState.LEAVING:
            self.on_leave(registration.instance, registration.born_ms)
        own = self.registration
        if registration == own or not registration.supersedes(own):
            return False
        self.registration = msgspec.structs.replace(own, epoch=registration.epoch + 1)
        return True

    def _may_register(self, run: InstanceRun) -> bool:
        """Return whether a heartbeat of ``run`` counts beside the registered run.

        One without a start, or with an earlier one, is of an earlier run, unless nothing else is
        there: a clock may have been set back before the start. A run that another one followed
        doesn't return.
        """
        current = self.run
        if run == current or not current.born_ms:
            return True
        seen = self._seen.get(run)
        if run.born_ms and seen is not None and seen.sequence >= 0:
            return False
        return run.born_ms > current.born_ms or self.registration.state is InstanceState.GONE

    def _find_run(self, run: InstanceRun) -> _SeenRun | None:
        """Return what is known of a run; its start may have become known since."""
        seen = self._seen.get(run)
        if seen is None and run.born_ms:
            seen = self._seen.pop(InstanceRun(run.instance), None)
            if seen is not None:
                self._seen[run] = seen
        return seen

    def _add_run(self, run: InstanceRun) -> _SeenRun:
        if len(self._seen) >= MAX_REMEMBERED_RUNS:
            del self._seen[next(seen for seen in self._seen if seen != self.run)]
        added = self._seen[run] = _SeenRun(sequence=-1, is_draining=False)
        return added

    def _update(self, **fields: object) -> bool:
        changed = msgspec.structs.replace(self.registration, **fields)
        if changed == self.registration:
            return False
        serial = self.registration.serial + 1
        self.registration = msgspec.structs.replace(changed, serial=serial)
        return True
