"""The links of a fleet: the relay in front of its processes, and what the links suffer.

Owns the relay, its rules, and the account of which daemons can reach control. Relies on the
kernel's tables to tell which process holds a connection.
"""

from finchshed.fleet.journal import FaultJournal
from finchshed.fleet.link_conditions import UNKNOWN_PEER, Condition, Conditions, LinkRule, Peer
from finchshed.fleet.plan import FleetPlan
from finchshed.fleet.processes import FleetProcess, ProcessRole
from finchshed.fleet.reachability import reaching
from finchshed.fleet.relay import Relay
from finchshed.fleet.runner import Fleet
from finchshed.fleet.socket_diagnosis import inode_between
from finchshed.fleet.sockets import holder_of
from finchshed.proof.history import ControlReachable


class FleetLinks:
    """Relays every internal link of a fleet and keeps account of who reaches control.

    The deployment's standing delay between zones is a rule of its own for each pair of zones, so
    an injected delay adds to it.
    """

    def __init__(self, fleet: Fleet, journal: FaultJournal) -> None:
        self._fleet = fleet
        self._journal = journal
        self.conditions = Conditions()
        self.relay = Relay(self.conditions, self._identify)
        self._reachable: dict[str, bool] = {}

    async def open(self) -> None:
        """Listen on every relayed address; to be called before the processes start."""
        plan = self._fleet.plan
        for private, public in plan.relayed.items():
            owner = plan.spec(plan.owners[private])
            await self.relay.listen(public, private, Peer(owner.name, owner.zone))
        self._set_zone_delays(plan)

    async def close(self) -> None:
        """Stop relaying."""
        await self.relay.close()

    def set(self, name: str, rule: LinkRule) -> None:
        """Put a rule in force."""
        self.conditions.set(name, rule)
        self.note_reachability()

    def clear(self, name: str) -> None:
        """Take a rule out of force."""
        self.conditions.clear(name)
        self.note_reachability()

    def note_reachability(self) -> None:
        """Note for which daemons it changed whether they reach a majority of control."""
        daemons = [
            _peer(process) for process in self._fleet.of_role(ProcessRole.DAEMON, ProcessRole.EDGE)
        ]
        control = self._fleet.of_role(ProcessRole.CONTROL)
        working = [_peer(process) for process in control if process.is_working]
        reached = reaching(daemons, working, len(control), self._connected)
        for daemon in daemons:
            now_reached = daemon.name in reached
            if self._reachable.get(daemon.name, True) != now_reached:
                event = ControlReachable(self._journal.now(), daemon.name, now_reached)
                self._journal.add(event)
            self._reachable[daemon.name] = now_reached

    def _connected(self, one: Peer, other: Peer) -> bool:
        forth = self.conditions.between(one, other)
        back = self.conditions.between(other, one)
        return not (forth.cut or back.cut)

    def _set_zone_delays(self, plan: FleetPlan) -> None:
        delay = plan.deployment.zone_delay_seconds
        if not delay:
            return
        zones = sorted({spec.zone for spec in plan.specs if spec.zone})
        condition = Condition(delay_seconds=delay)
        for source in zones:
            for target in zones:
                if source != target:
                    rule = LinkRule(source=source, target=target, condition=condition)
                    self.conditions.set(f"distance-{source}-{target}", rule)

    def _identify(self, local_address: str, remote_address: str) -> Peer:
        inode = inode_between(local_address, remote_address)
        if not inode:
            return UNKNOWN_PEER
        by_pid = {process.pid: process for process in self._fleet.processes.values() if process.pid}
        holder = by_pid.get(holder_of(inode, by_pid))
        return UNKNOWN_PEER if holder is None else _peer(holder)


def _peer(process: FleetProcess) -> Peer:
    return Peer(process.spec.name, process.spec.zone)
