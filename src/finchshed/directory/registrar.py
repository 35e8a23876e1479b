"""The registration of the back end beside a daemon, from its heartbeats. Pure decisions.

Only this daemon can reach the back end, so what it decides here is in force at once: a back end
that drains gets nothing new from the moment it said so, whoever else knows of it.

Heartbeats may come late, twice, or from an earlier start of the back end. The sequence number that
rises with each heartbeat of one start tells them apart: only a higher one than was seen before
counts. Owns the registration; relies on its caller to carry it to callers and to control.
"""

import msgspec

from finchshed.directory.registration import InstanceState, Registration

MAX_REMEMBERED_INSTANCES = 64
"""Earlier starts of the back end whose late heartbeats are known as such; chosen, not measured."""


class BackendHeartbeat(msgspec.Struct, frozen=True):
    """What a back end reports of itself. ``sequence`` rises with each heartbeat of one start."""

    instance: str
    service: str
    slots: int
    sequence: int
    is_draining: bool = False


class _SeenInstance(msgspec.Struct):
    """What was reported of an instance, the last time."""

    sequence: int
    is_draining: bool


class Registrar:
    """Keeps the registration of one daemon's back end.

    Parameters
    ----------
    address
        Where this daemon listens for other daemons.
    epoch
        Number of this start of the daemon, above those of its earlier starts as far as known.
    silence_seconds
        A back end that sent no heartbeat for longer is taken for gone.
    """

    def __init__(
        self, address: str, zone: str, region: str, *, epoch: int, silence_seconds: float
    ) -> None:
        self.registration = Registration(address, epoch, 0, zone=zone, region=region)
        self._silence_seconds = silence_seconds
        self._seen: dict[str, _SeenInstance] = {}
        self._confirmed_at = 0.0

    def on_heartbeat(self, heartbeat: BackendHeartbeat, now: float) -> bool:
        """Note a heartbeat; return whether the registration changed."""
        seen = self._seen.get(heartbeat.instance)
        if seen is not None and heartbeat.sequence <= seen.sequence:
            return False
        if seen is None:
            seen = self._remember(heartbeat.instance)
        seen.sequence = heartbeat.sequence
        seen.is_draining = seen.is_draining or heartbeat.is_draining
        self._confirmed_at = now
        state = InstanceState.LEAVING if seen.is_draining else InstanceState.READY
        return self._change(
            instance=heartbeat.instance,
            service=heartbeat.service,
            slots=heartbeat.slots,
            state=state,
        )

    def on_health(self, instance: str, service: str, slots: int, now: float) -> bool:
        """Note a healthy back end's answer to a check, made because no heartbeat had come yet.

        Heartbeats say more: an instance seen before is left as they reported it.
        """
        if self.registration.instance or instance in self._seen:
            return False
        self._remember(instance)
        self._confirmed_at = now
        return self._change(
            instance=instance, service=service, slots=slots, state=InstanceState.READY
        )

    def on_leave(self, instance: str) -> bool:
        """Note an instance's word that it leaves; return whether the registration changed."""
        seen = self._seen.get(instance) or self._remember(instance)
        seen.is_draining = True
        if instance != self.registration.instance:
            return False
        if self.registration.state is InstanceState.GONE:
            return False
        return self._change(state=InstanceState.LEAVING)

    def on_unreachable(self) -> bool:
        """Note that the back end takes no connections; its next heartbeat brings it back."""
        if self.registration.state is not InstanceState.READY:
            return False
        return self._change(state=InstanceState.GONE)

    def on_misdirected(self, instance: str) -> bool:
        """Note that the back end said not to be ``instance``; return whether that was new."""
        if instance != self.registration.instance:
            return False
        return self.on_unreachable()

    def tick(self, now: float) -> bool:
        """Look for silence; return whether the registration changed."""
        is_present = self.registration.state is not InstanceState.GONE
        if is_present and now - self._confirmed_at > self._silence_seconds:
            return self._change(state=InstanceState.GONE)
        return False

    def on_own_registration(self, registration: Registration) -> bool:
        """Compare with what others hold of this daemon's address; return whether to send anew.

        A clock that was set back may have given this start a lower epoch than an earlier one.
        """
        own = self.registration
        if registration == own or not registration.supersedes(own):
            return False
        self.registration = msgspec.structs.replace(own, epoch=registration.epoch + 1)
        return True

    def _remember(self, instance: str) -> _SeenInstance:
        if len(self._seen) >= MAX_REMEMBERED_INSTANCES:
            oldest = next(name for name in self._seen if name != self.registration.instance)
            del self._seen[oldest]
        seen = self._seen[instance] = _SeenInstance(sequence=-1, is_draining=False)
        return seen

    def _change(self, **fields: object) -> bool:
        changed = msgspec.structs.replace(self.registration, **fields)
        if changed == self.registration:
            return False
        serial = self.registration.serial + 1
        self.registration = msgspec.structs.replace(changed, serial=serial)
        return True
