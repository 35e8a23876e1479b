"""Maintains the registration of a daemon's back end from its heartbeats. No I/O.

Only this daemon can reach the back end, so its decisions take effect immediately: a draining back
end receives no new requests once it has announced the drain, even before others learn of it.

Heartbeats may be delayed, duplicated or sent by an earlier run of the back end. Each run numbers
its heartbeats, and only a number higher than the last one seen counts. Owns the registration, which
the daemon sends to its callers and to the control nodes.
"""

import msgspec

from finchshed.directory.registration import InstanceState, Registration

MAX_REMEMBERED_INSTANCES = 64
"""Maximum number of back-end instances whose last sequence number is kept."""


class BackendHeartbeat(msgspec.Struct, frozen=True):
    """A back end's report about itself; ``sequence`` rises with each heartbeat of an instance."""

    instance: str
    service: str
    slots: int
    sequence: int
    is_draining: bool = False


class _SeenInstance(msgspec.Struct):
    """Last sequence number and drain state reported by an instance."""

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
    """

    def __init__(
        self, address: str, zone: str, region: str, *, epoch: int, silence_seconds: float
    ) -> None:
        self.registration = Registration(address, epoch, 0, zone=zone, region=region)
        self._silence_seconds = silence_seconds
        self._seen: dict[str, _SeenInstance] = {}
        self._last_contact_at = 0.0

    def on_heartbeat(self, heartbeat: BackendHeartbeat, now: float) -> bool:
        """Process a heartbeat and return whether the registration changed."""
        seen = self._seen.get(heartbeat.instance)
        if seen is not None and heartbeat.sequence <= seen.sequence:
            return False
        if seen is None:
            seen = self._add_instance(heartbeat.instance)
        seen.sequence = heartbeat.sequence
        seen.is_draining = seen.is_draining or heartbeat.is_draining
        self._last_contact_at = now
        state = InstanceState.LEAVING if seen.is_draining else InstanceState.READY
        return self._update(
            instance=heartbeat.instance,
            service=heartbeat.service,
            slots=heartbeat.slots,
            state=state,
        )

    def on_health(self, instance: str, service: str, slots: int, now: float) -> bool:
        """Register a back end found by a health check before its first heartbeat.

        Instances known from heartbeats are left unchanged, because a health check doesn't report
        draining.
        """
        if self.registration.instance or instance in self._seen:
            return False
        self._add_instance(instance)
        self._last_contact_at = now
        return self._update(
            instance=instance, service=service, slots=slots, state=InstanceState.READY
        )

    def on_leave(self, instance: str) -> bool:
        """Mark an instance as draining and return whether the registration changed."""
        seen = self._seen.get(instance) or self._add_instance(instance)
        seen.is_draining = True
        if instance != self.registration.instance:
            return False
        if self.registration.state is InstanceState.GONE:
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

        Returns whether the own registration must be sent again. An instance that an earlier run of
        the daemon registered as leaving still leaves. A clock that was set back may have given this
        run a lower epoch than an earlier one; it is raised above that.
        """
        if registration.state is InstanceState.LEAVING:
            self.on_leave(registration.instance)
        own = self.registration
        if registration == own or not registration.supersedes(own):
            return False
        self.registration = msgspec.structs.replace(own, epoch=registration.epoch + 1)
        return True

    def _add_instance(self, instance: str) -> _SeenInstance:
        if len(self._seen) >= MAX_REMEMBERED_INSTANCES:
            oldest = next(name for name in self._seen if name != self.registration.instance)
            del self._seen[oldest]
        seen = self._seen[instance] = _SeenInstance(sequence=-1, is_draining=False)
        return seen

    def _update(self, **fields: object) -> bool:
        changed = msgspec.structs.replace(self.registration, **fields)
        if changed == self.registration:
            return False
        serial = self.registration.serial + 1
        self.registration = msgspec.structs.replace(changed, serial=serial)
        return True
