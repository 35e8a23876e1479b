"""Distributes registrations of back ends to daemons and to the other control nodes.

Owns the directory of one control node, as soft state. Registrations from connected daemons are sent
at once to daemons and peers, and repeated periodically to repair lost messages. Relies on
:mod:`finchshed.directory.table` to merge registrations and detect changes.
"""

import asyncio
from collections.abc import Callable, Sequence

from finchshed.control.daemons.soft_state_broadcaster import SoftStateBroadcaster
from finchshed.control.raft.node_messages import DirectoryReport
from finchshed.directory.registration import Registration
from finchshed.directory.table import Directory
from finchshed.distribution.messages import (
    Announce,
    ControlNodes,
    ControlToDaemon,
    DirectoryUpdate,
)

REPORT_INTERVAL_SECONDS = 2.0
"""Interval between reports of all locally announced registrations to the peers."""

REGISTRATION_EXPIRY_SECONDS = 15.0
"""A registration is dropped if no control node has received it for this long."""

LOCAL_ANNOUNCE_SECONDS = 5.0
"""A daemon that announced itself here within this time counts as connected here."""


class DirectoryService:
    """Directory of one control node.

    Parameters
    ----------
    broadcast
        Sends to every daemon connected here.
    send_report
        Sends to every other member of the control group.
    """

    def __init__(
        self,
        broadcast: Callable[[ControlToDaemon], None],
        send_report: Callable[[DirectoryReport], None],
    ) -> None:
        self._broadcast = broadcast
        self._send_report = send_report
        self._directory = Directory(REGISTRATION_EXPIRY_SECONDS)
        self._last_announced: dict[str, float] = {}
        self._addresses: tuple[str, ...] = ()
        self._updates: SoftStateBroadcaster[Registration] = SoftStateBroadcaster(
            lambda registration: registration.address,
            lambda registrations: broadcast(DirectoryUpdate(registrations)),
            lambda registrations: send_report(DirectoryReport(registrations)),
        )

    def on_announce(self, message: Announce) -> None:
        """Merge a registration announced by a daemon connected here."""
        registration = message.registration
        now = _now()
        self._last_announced[registration.address] = now
        self._updates.on_local_changes(self._directory.merge((registration,), now))

    def on_report(self, report: DirectoryReport) -> None:
        """Merge registrations reported by another control node."""
        self._updates.on_peer_changes(self._directory.merge(report.registrations, _now()))

    def initial_messages(self) -> Sequence[ControlToDaemon]:
        """Return the messages sent to a newly connected daemon."""
        snapshot = DirectoryUpdate(self._directory.registrations(), is_whole=True)
        return (snapshot, ControlNodes(self._addresses)) if self._addresses else (snapshot,)

    def set_control_addresses(self, addresses: tuple[str, ...]) -> None:
        """Set the control nodes' distribution addresses and send them to daemons if changed."""
        if addresses != self._addresses:
            self._addresses = addresses
            self._broadcast(ControlNodes(addresses))

    async def run(self) -> None:
        """Report registrations to the peers and expire old ones, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            now = _now()
            self._send_report(DirectoryReport(self._local_registrations(now)))
            expired = self._directory.expire(now)
            if expired:
                self._broadcast(DirectoryUpdate(forgotten=expired))

    def _local_registrations(self, now: float) -> tuple[Registration, ...]:
        since = now - LOCAL_ANNOUNCE_SECONDS
        self._last_announced = {
            address: at for address, at in self._last_announced.items() if at >= since
        }
        registrations = (self._directory.get(address) for address in self._last_announced)
        return tuple(registration for registration in registrations if registration is not None)


def _now() -> float:
    return asyncio.get_running_loop().time()
