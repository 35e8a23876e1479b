"""Relays the internal links of a fleet and tracks which daemons can reach the control group.

The process at the other end of a connection is identified through the kernel's socket tables.
"""

from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.link_conditions import UNKNOWN_PEER, LinkCondition, LinkRule, LinkRules, Peer
from finchshed.fleet.plan import FleetPlan
from finchshed.fleet.processes import FleetProcess, ProcessRole
from finchshed.fleet.reachability import daemons_reaching_control
from finchshed.fleet.relay import Relay
from finchshed.fleet.runner import Fleet
from finchshed.fleet.socket_diagnosis import find_socket_inode
from finchshed.fleet.sockets import find_socket_holder
from finchshed.proof.history import ControlReachable


class FleetLinks:
    """Relays every internal link and tracks the reachability of the control group.

    The deployment's delay between zones is a separate rule for each pair of zones, so injected
    delays add to it.
    """

    def __init__(self, fleet: Fleet, journal: FaultJournal) -> None:
        self._fleet = fleet
        self._journal = journal
        self.rules = LinkRules()
        self.relay = Relay(self.rules, self._identify)
        self._reachable: dict[str, bool] = {}

    async def open(self) -> None:
        """Listen on every relayed address; call this before the processes start."""
        plan = self._fleet.plan
        for private, public in plan.relayed.items():
            owner = plan.spec(plan.owners[private])
            await self.relay.listen(public, private, Peer(owner.name, owner.zone))
        self._set_zone_delays(plan)

    async def close(self) -> None:
        """Stop the relay and end all its connections."""
        await self.relay.close()

    def set(self, name: str, rule: LinkRule) -> None:
        """Add or replace a link rule and update reachability."""
        self.rules.set(name, rule)
        self.note_reachability()

    def clear(self, name: str) -> None:
        """Remove a link rule and update reachability."""
        self.rules.clear(name)
        self.note_reachability()

    def note_reachability(self) -> None:
        """Record each daemon whose ability to reach a majority of the control group changed."""
        daemons = [
            _peer_of(process)
            for process in self._fleet.with_role(ProcessRole.DAEMON, ProcessRole.EDGE)
        ]
        control = self._fleet.with_role(ProcessRole.CONTROL)
        working = [_peer_of(process) for process in control if process.is_working]
        reachable = daemons_reaching_control(daemons, working, len(control), self._connected)
        for daemon in daemons:
            is_reachable = daemon.name in reachable
            if self._reachable.get(daemon.name, True) != is_reachable:
                event = ControlReachable(self._journal.now(), daemon.name, is_reachable)
                self._journal.add(event)
            self._reachable[daemon.name] = is_reachable

    def _connected(self, one: Peer, other: Peer) -> bool:
        forward = self.rules.condition_between(one, other)
        backward = self.rules.condition_between(other, one)
        return not (forward.cut or backward.cut)

    def _set_zone_delays(self, plan: FleetPlan) -> None:
        delay = plan.deployment.zone_delay_seconds
        if not delay:
            return
        zones = sorted({spec.zone for spec in plan.specs if spec.zone})
        condition = LinkCondition(delay_seconds=delay)
        for source in zones:
            for target in zones:
                if source != target:
                    rule = LinkRule(source=source, target=target, condition=condition)
                    self.rules.set(f"distance-{source}-{target}", rule)

    def _identify(self, local_address: str, remote_address: str) -> Peer:
        inode = find_socket_inode(local_address, remote_address)
        if not inode:
            return UNKNOWN_PEER
        by_pid = {process.pid: process for process in self._fleet.processes.values() if process.pid}
        process = by_pid.get(find_socket_holder(inode, by_pid))
        return UNKNOWN_PEER if process is None else _peer_of(process)


def _peer_of(process: FleetProcess) -> Peer:
    return Peer(process.spec.name, process.spec.zone)
