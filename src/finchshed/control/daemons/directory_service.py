"""What a control node does with registrations of back ends: keep, pass on to daemons and peers.

Soft state: nothing of it is written to the log or a disk. A control node passes on what the daemons
connected to it tell, at once to its peers and to its daemons, and now and then all of it again, so
that a lost message is made good.
"""

import asyncio
from collections.abc import Callable, Sequence

from finchshed.control.daemons.gathering import Gathering
from finchshed.control.raft.node_messages import DirectoryReport
from finchshed.directory.registration import Registration
from finchshed.directory.table import Directory
from finchshed.distribution.messages import (
    Announce,
    ControlNodes,
    ControlToDaemon,
    DirectoryUpdate,
)

CONFIRM_SECONDS = 2.0
"""Time between reports to the peers of all registrations that were told here."""

FORGET_SECONDS = 15.0
"""A registration is dropped if no control node has heard its daemon for this long."""

OWN_SECONDS = 5.0
"""A daemon that announced itself here within this time counts as connected here."""


class DirectoryService:
    """The directory of one control node.

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
        self._directory = Directory(FORGET_SECONDS)
        self._told_here: dict[str, float] = {}
        self._addresses: tuple[str, ...] = ()
        self._news: Gathering[Registration] = Gathering(
            lambda registration: registration.address,
            lambda registrations: broadcast(DirectoryUpdate(registrations)),
        )

    def on_announce(self, message: Announce) -> None:
        """Take a registration from a daemon connected here."""
        registration = message.registration
        now = _now()
        self._told_here[registration.address] = now
        news = self._directory.merge((registration,), now)
        if news:
            self._send_report(DirectoryReport(news))
            self._news.add(news)

    def on_report(self, report: DirectoryReport) -> None:
        """Take registrations that another control node passes on."""
        news = self._directory.merge(report.registrations, _now())
        self._news.add(news)

    def greeting(self) -> Sequence[ControlToDaemon]:
        """Return what a daemon is sent when it connects."""
        held = DirectoryUpdate(self._directory.registrations(), is_whole=True)
        return (held, ControlNodes(self._addresses)) if self._addresses else (held,)

    def set_control_addresses(self, addresses: tuple[str, ...]) -> None:
        """Take the distribution addresses of the control nodes, and tell them if they changed."""
        if addresses != self._addresses:
            self._addresses = addresses
            self._broadcast(ControlNodes(addresses))

    async def run(self) -> None:
        """Confirm registrations to the peers, and forget old ones, for as long as the node runs."""
        while True:
            await asyncio.sleep(CONFIRM_SECONDS)
            now = _now()
            self._send_report(DirectoryReport(self._own(now)))
            forgotten = self._directory.expire(now)
            if forgotten:
                self._broadcast(DirectoryUpdate(forgotten=forgotten))

    def _own(self, now: float) -> tuple[Registration, ...]:
        since = now - OWN_SECONDS
        self._told_here = {address: at for address, at in self._told_here.items() if at >= since}
        held = (self._directory.get(address) for address in self._told_here)
        return tuple(registration for registration in held if registration is not None)


def _now() -> float:
    return asyncio.get_running_loop().time()
