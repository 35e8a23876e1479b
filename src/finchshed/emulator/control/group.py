"""The emulated control group and its operators."""

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
"""Port in the addresses of control nodes, for identification only."""
OPERATOR_COUNT: Final = 16
"""Number of operators, which is the maximum of ``acts.Submit.operators``."""
PLATFORM_LAG_SECONDS: Final = 1.0
"""Delay of the platform's list of live and leaving machines."""

HINT_INTERVAL_SECONDS: Final = 0.5
"""Interval between reads of the platform's list; the default in a control node's settings."""
RETRY_DELAY_SECONDS: Final = 0.1
"""Delay before an operator retries a drain declaration."""


class ControlGroup:
    """Control nodes and operators, distributed over the zones round-robin.

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
            for number in range(OPERATOR_COUNT)
        ]
        self._leaving_since: dict[str, float] = {}
        self._drain_count = 0

    def start(self, endpoints: Iterable[Endpoint], policy: Policy) -> None:
        """Start the nodes and submit the initial configuration."""
        for node in self.nodes:
            node.begin()
        endpoints = tuple(endpoints)
        services = sorted({endpoint.service for endpoint in endpoints})
        resources: tuple[Resource, ...] = (
            policy,
            *(Service(name=name) for name in services),
            *endpoints,
            *(_operator_resource(number) for number in range(OPERATOR_COUNT)),
        )
        change = Change("bootstrap", BOOTSTRAP_OPERATOR, 0, resources)
        self._operators[0].submit(change, _ignore)
        self._simulation.clock.call_later(HINT_INTERVAL_SECONDS, self._send_hints)

    def crash(self, name: str, seconds: float, wipe_disk: bool) -> None:
        """Crash a control node and restart it after ``seconds``."""
        node = self.node(name)
        if not node.up:
            return
        node.crash()
        self._simulation.clock.call_later(seconds, self._restart, node, wipe_disk)

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a control node for ``seconds``."""
        node = self.node(name)
        if not node.up or node.frozen:
            return
        node.freeze()
        generation = node.generation
        self._simulation.clock.call_later(
            seconds, lambda: node.thaw() if node.generation == generation else None
        )

    def stop_planned(self, name: str, seconds: float) -> None:
        """Gracefully stop a control node and restart it after ``seconds``."""
        node = self.node(name)
        if node.up and not node.frozen:
            node.stop_planned(seconds)

    def node(self, name: str) -> SimulatedControlNode:
        """Return the control node with this name, or the current ``leader`` or a ``follower``.

        ``leader`` is the first node if there is none; ``follower`` is the first node that isn't the
        leader.
        """
        leading = [node for node in self.nodes if node.up and node.host.is_leader]
        if name == "leader":
            return leading[-1] if leading else self.nodes[0]
        if name == "follower":
            return next(node for node in self.nodes if node not in leading[-1:])
        return next(node for node in self.nodes if node.name == name)

    def submit(self, act: acts.Submit) -> None:
        """Submit concurrent changes of the retry ratio, all based on the same revision."""
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
            done = self._resend_callback(operator, change) if act.resend else _ignore
            operator.submit(change, done)

    def declare_draining(self, endpoint: str, accepted: Callable[[], None]) -> None:
        """Declare an endpoint as leaving, retrying on conflict until the change is accepted."""
        self._drain_count += 1
        operator = self._operators[self._drain_count % OPERATOR_COUNT]
        number = self._drain_count % OPERATOR_COUNT
        attempts = itertools.count(1)

        def attempt() -> None:
            held = self._endpoint(endpoint)
            if held is None:
                self._simulation.clock.call_later(RETRY_DELAY_SECONDS, attempt)
                return
            change = Change(
                f"drain.{self._drain_count}.{endpoint}.{next(attempts)}",
                _operator_name(number),
                self._revision(),
                (_leaving(held),),
            )
            operator.submit(change, answered)

        def answered(result: ChangeResult | None) -> None:
            if isinstance(result, Accepted):
                accepted()
            elif isinstance(result, Conflict):
                self._simulation.clock.call_later(RETRY_DELAY_SECONDS, attempt)

        attempt()

    def list_leaving(self, endpoint: str) -> None:
        """List an endpoint as leaving in the platform's list."""
        self._leaving_since.setdefault(endpoint, self._simulation.now)

    def list_live(self, endpoint: str) -> None:
        """List an endpoint as live in the platform's list."""
        self._leaving_since.pop(endpoint, None)

    def can_reach_majority(self, process: Process) -> bool:
        """Whether ``process`` can reach a majority of voters that can all reach each other."""
        usable = [node for node in self.nodes if self._is_usable(node, process)]
        needed = quorum_size(len(self.nodes))
        return any(
            all(self._are_connected(a, b) for a, b in itertools.combinations(chosen, 2))
            for chosen in itertools.combinations(usable, needed)
        )

    def _is_usable(self, node: SimulatedControlNode, process: Process) -> bool:
        if not node.up or node.frozen or not self._are_connected(node, process):
            return False
        member = node.host.node.membership.find(node.host.node.identity)
        return member is not None and member.identity in node.host.node.membership.voters

    def _are_connected(self, one: Process, other: Process) -> bool:
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

    def _resend_callback(self, operator: SimulatedOperator, change: Change) -> Callable[..., None]:
        def resend(_: ChangeResult | None) -> None:
            operator.submit(change, _ignore)

        return resend

    def _send_hints(self) -> None:
        now = self._simulation.now
        if self._leaving_since:
            leaving = tuple(
                LeavingHint(endpoint, now - since)
                for endpoint, since in self._leaving_since.items()
            )
            for node in self.nodes:
                if node.up and not node.frozen:
                    node.hub.broadcast(Hints(leaving, PLATFORM_LAG_SECONDS))
        self._simulation.clock.call_later(HINT_INTERVAL_SECONDS, self._send_hints)


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
    """Ignore the result of a change."""
