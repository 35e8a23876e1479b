"""The emulated control group, its operators, and who can reach it."""

import hashlib
import itertools
from collections.abc import Callable, Iterable
from typing import Final

from finchshed.configuration.changes import Accepted, Change, ChangeResult, Conflict
from finchshed.configuration.resources import Endpoint, EndpointState, Policy, Resource, Service
from finchshed.configuration.resources import Operator as OperatorResource
from finchshed.configuration.store import BOOTSTRAP_OPERATOR
from finchshed.consensus.membership import InitialMember, quorum_size
from finchshed.distribution.messages import Hints, LeavingHint
from finchshed.emulator import acts
from finchshed.emulator.control.node import SimulatedControlNode
from finchshed.emulator.control.operators import SimulatedOperator
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.network import Site
from finchshed.emulator.simulation import Simulation

CONTROL_PORT: Final = 7100
"""Port in the addresses of control nodes; nothing listens there."""
OPERATORS: Final = 16
"""Operators that may change things at once; as many as a trace may name."""
PLATFORM_LAG_SECONDS: Final = 1.0
"""How late the platform's list of live and leaving machines is."""

HINT_SECONDS: Final = 0.5
"""Seconds between readings of the platform's list; the default of a control node's settings."""
RETRY_SECONDS: Final = 0.1
"""Wait before a declaration is tried again, seconds; chosen, not measured."""


class ControlGroup:
    """Control nodes, one in each zone in turn, and operators.

    Parameters
    ----------
    count
        Number of control nodes; all are voters.
    """

    def __init__(self, simulation: Simulation, zones: tuple[str, ...], count: int) -> None:
        self._simulation = simulation
        sites = [
            Site(f"control-{number + 1}", zones[number % len(zones)]) for number in range(count)
        ]
        voters = tuple(
            InitialMember(site.node, f"10.1.0.{number + 1}:{CONTROL_PORT}")
            for number, site in enumerate(sites)
        )
        self.by_address: dict[str, SimulatedControlNode] = {}
        for site in sites:
            node = SimulatedControlNode(simulation, site, voters, self.by_address)
            self.by_address[node.address] = node
        self.nodes = tuple(self.by_address.values())
        self._operators = [
            SimulatedOperator(
                simulation,
                Site(f"operator-{number + 1}", zones[number % len(zones)]),
                self.nodes,
                number,
            )
            for number in range(OPERATORS)
        ]
        self._listed: dict[str, float] = {}
        self._drains = 0

    def start(self, endpoints: Iterable[Endpoint], policy: Policy) -> None:
        """Let the group form and the first configuration be declared."""
        for node in self.nodes:
            node.begin()
        endpoints = tuple(endpoints)
        services = sorted({endpoint.service for endpoint in endpoints})
        resources: tuple[Resource, ...] = (
            policy,
            *(Service(name=name) for name in services),
            *endpoints,
            *(_operator_resource(number) for number in range(OPERATORS)),
        )
        change = Change("bootstrap", BOOTSTRAP_OPERATOR, 0, resources)
        self._operators[0].submit(change, _ignore)
        self._simulation.clock.call_later(HINT_SECONDS, self._send_hints)

    def crash(self, name: str, seconds: float, wipe_disk: bool) -> None:
        """Kill a control node; start it again after ``seconds``."""
        node = self.node(name)
        if not node.up:
            return
        node.crash()
        self._simulation.clock.call_later(seconds, self._restart, node, wipe_disk)

    def freeze(self, name: str, seconds: float) -> None:
        """Stop a control node in silence for ``seconds``."""
        node = self.node(name)
        if not node.up or node.frozen:
            return
        node.freeze()
        generation = node.generation
        self._simulation.clock.call_later(
            seconds, lambda: node.thaw() if node.generation == generation else None
        )

    def stop_planned(self, name: str, seconds: float) -> None:
        """Restart a control node as an operator would."""
        node = self.node(name)
        if node.up and not node.frozen:
            node.stop_planned(seconds)

    def node(self, name: str) -> SimulatedControlNode:
        """Return the control node called ``name``, or the leader's or a follower's.

        ``leader`` is the node that leads at this moment, or the first if none does; ``follower``
        is the first node that doesn't lead.
        """
        leading = [node for node in self.nodes if node.up and node.host.is_leader]
        if name == "leader":
            return leading[-1] if leading else self.nodes[0]
        if name == "follower":
            return next(node for node in self.nodes if node not in leading[-1:])
        return next(node for node in self.nodes if node.name == name)

    def submit(self, act: acts.Submit) -> None:
        """Let operators change the retry ratio at once, all against the same revision."""
        expected = self._revision()
        for number in range(act.operators):
            policy = self._policy()
            ratio = round(0.02 + 0.01 * ((expected + number) % 10), 3)
            change = Change(
                f"{act.change_id}.{number}",
                _operator_name(number),
                expected,
                (Policy(retry_budget=policy.retry_budget, retry_ratio=ratio),),
            )
            operator = self._operators[number]
            done = self._resending(operator, change) if act.resend else _ignore
            operator.submit(change, done)

    def declare_draining(self, endpoint: str, accepted: Callable[[], None]) -> None:
        """Let an operator declare that an endpoint leaves; repeated until it is accepted."""
        self._drains += 1
        operator = self._operators[self._drains % OPERATORS]
        number = self._drains % OPERATORS
        tries = itertools.count(1)

        def attempt() -> None:
            held = self._endpoint(endpoint)
            if held is None:
                self._simulation.clock.call_later(RETRY_SECONDS, attempt)
                return
            change = Change(
                f"drain.{self._drains}.{endpoint}.{next(tries)}",
                _operator_name(number),
                self._revision(),
                (_leaving(held),),
            )
            operator.submit(change, answered)

        def answered(result: ChangeResult | None) -> None:
            if isinstance(result, Accepted):
                accepted()
            elif isinstance(result, Conflict):
                self._simulation.clock.call_later(RETRY_SECONDS, attempt)

        attempt()

    def list_leaving(self, endpoint: str) -> None:
        """Let the platform's list name an endpoint as leaving from now on."""
        self._listed.setdefault(endpoint, self._simulation.now)

    def list_live(self, endpoint: str) -> None:
        """Let the platform's list name an endpoint as live again."""
        self._listed.pop(endpoint, None)

    def in_reach_of(self, process: Process) -> bool:
        """Whether ``process`` can reach a majority that can reach each other."""
        usable = [node for node in self.nodes if self._is_usable(node, process)]
        needed = quorum_size(len(self.nodes))
        return any(
            all(self._joined(a, b) for a, b in itertools.combinations(chosen, 2))
            for chosen in itertools.combinations(usable, needed)
        )

    def _is_usable(self, node: SimulatedControlNode, process: Process) -> bool:
        if not node.up or node.frozen or not self._joined(node, process):
            return False
        member = node.host.node.membership.find(node.host.node.identity)
        return member is not None and member.identity in node.host.node.membership.voters

    def _joined(self, one: Process, other: Process) -> bool:
        network = self._simulation.network
        return network.reachable(one.site, other.site) and network.reachable(other.site, one.site)

    def _restart(self, node: SimulatedControlNode, wipe_disk: bool) -> None:
        if not node.up:
            node.restart(wipe_disk)

    def _revision(self) -> int:
        return max(node.machine.store.revision for node in self.nodes)

    def _latest(self) -> SimulatedControlNode:
        return max(self.nodes, key=lambda node: node.machine.store.revision)

    def _policy(self) -> Policy:
        return self._latest().machine.policy()

    def _endpoint(self, name: str) -> Endpoint | None:
        for resource in self._latest().machine.store.resources.values():
            if isinstance(resource, Endpoint) and resource.name == name:
                return resource
        return None

    def _resending(self, operator: SimulatedOperator, change: Change) -> Callable[..., None]:
        def resend(_: ChangeResult | None) -> None:
            operator.submit(change, _ignore)

        return resend

    def _send_hints(self) -> None:
        now = self._simulation.now
        if self._listed:
            leaving = tuple(
                LeavingHint(endpoint, now - since) for endpoint, since in self._listed.items()
            )
            for node in self.nodes:
                if node.up and not node.frozen:
                    node.hub.broadcast(Hints(leaving, PLATFORM_LAG_SECONDS))
        self._simulation.clock.call_later(HINT_SECONDS, self._send_hints)


def _operator_name(number: int) -> str:
    return f"operator-{number + 1}"


def _operator_resource(number: int) -> OperatorResource:
    token = hashlib.sha256(_operator_name(number).encode()).hexdigest()
    return OperatorResource(name=_operator_name(number), token_sha256=token)


def _leaving(endpoint: Endpoint) -> Endpoint:
    return Endpoint(
        name=endpoint.name,
        service=endpoint.service,
        region=endpoint.region,
        zone=endpoint.zone,
        address=endpoint.address,
        slots=endpoint.slots,
        state=EndpointState.LEAVING,
    )


def _ignore(_: ChangeResult | None) -> None:
    """Take an answer that nobody acts on."""
