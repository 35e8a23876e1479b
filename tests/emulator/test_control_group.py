"""Control group of the emulator: formation, recovery of a lost disk, races and reachability."""

from finchshed.configuration.resources import Endpoint, Policy
from finchshed.emulator.acts import Submit
from finchshed.emulator.clock import Clock
from finchshed.emulator.control.group import ControlGroup
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.network import Network, Site
from finchshed.emulator.recorder import Recorder
from finchshed.emulator.simulation import Simulation
from finchshed.emulator.streams import Streams
from finchshed.proof.history import ChangeAnswered
from finchshed.proof.history_file import SCHEMA_VERSION, Header

ZONES = ("zone-1", "zone-2", "zone-3")
ENDPOINT = Endpoint(
    name="s-1", service="s", region="r", zone="zone-1", address="10.0.0.1:7000", slots=4
)


def start_group(seed: int = 1) -> tuple[Simulation, ControlGroup]:
    clock = Clock()
    streams = Streams(seed)
    network = Network(clock, streams, 0.001, 0.005)
    recorder = Recorder(clock, Header(SCHEMA_VERSION, "emulator", "t", seed, "0"))
    simulation = Simulation(clock, network, streams, recorder)
    group = ControlGroup(simulation, ZONES, 3)
    group.start([ENDPOINT], Policy())
    clock.run_until(2.5)
    return simulation, group


def accepted_changes(simulation: Simulation) -> list[str]:
    return [
        event.change_id
        for event in simulation.recorder.history.events
        if isinstance(event, ChangeAnswered) and event.result == "accepted"
    ]


def test_group_forms_and_accepts_the_initial_configuration() -> None:
    simulation, group = start_group()
    assert accepted_changes(simulation) == ["bootstrap"]
    assert [node.machine.store.revision for node in group.nodes] == [1, 1, 1]
    assert sum(node.host.is_leader for node in group.nodes) == 1


def test_node_with_a_lost_disk_catches_up_and_votes_again() -> None:
    simulation, group = start_group()
    follower = group.node("follower")
    before = follower.host.node.identity
    group.crash(follower.name, 0.5, wipe_disk=True)
    group.submit(Submit(time=2.5, change_id="c"))
    simulation.clock.run_until(10.0)
    identity = follower.host.node.identity
    assert identity.incarnation != before.incarnation
    assert identity in group.node("leader").host.node.membership.voters
    assert follower.machine.store.revision == 2


def test_one_concurrent_change_wins_and_its_resend_gets_the_same_answer() -> None:
    simulation, group = start_group()
    group.submit(Submit(time=2.5, change_id="race", operators=5, resend=True))
    simulation.clock.run_until(5.0)
    won = [change for change in accepted_changes(simulation) if change.startswith("race")]
    assert len(won) == 2
    assert len(set(won)) == 1


def test_majority_must_be_mutually_reachable() -> None:
    simulation, group = start_group()
    process = Process(simulation, Site("d", "zone-1"))
    assert group.can_reach_majority(process)
    simulation.network.cut("zone-1", "zone-2")
    assert group.can_reach_majority(process)
    simulation.network.cut("zone-1", "zone-3")
    assert not group.can_reach_majority(process)
    simulation.network.heal("zone-1", "zone-3")
    group.freeze("control-1", 1.0)
    assert not group.can_reach_majority(process)
