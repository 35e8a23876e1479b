import asyncio
import random
from pathlib import Path

import msgspec

from finchshed.configuration.resources import Operator, Policy, ResourceKey, Service
from finchshed.configuration.store import CommittedRevision
from finchshed.control.daemons.daemon_view import configuration_for_daemons, delta_for_daemons
from finchshed.distribution.addresses import ControlAddress
from finchshed.distribution.effects import ServingBasis
from finchshed.distribution.follower_runner import FollowerRunner
from finchshed.distribution.identity import ClientIdentity
from finchshed.distribution.snapshot import Configuration, apply_delta
from tests.control.group import Group

OPERATOR = Operator("ana", "ab" * 32)


def test_operators_are_omitted_from_full_configurations_and_changes() -> None:
    whole = configuration_for_daemons(4, (OPERATOR, Policy(), Service("s")))
    assert set(whole.resources) == {ResourceKey("policy", "default"), ResourceKey("service", "s")}
    committed = CommittedRevision(
        5, (OPERATOR, Service("t")), (ResourceKey("operator", "old"), ResourceKey("service", "s"))
    )
    delta = delta_for_daemons(committed)
    assert delta.puts == (Service("t"),)
    assert delta.deletes == (ResourceKey("service", "s"),)
    assert apply_delta(whole, delta).revision == 5


def test_change_of_operators_only_advances_the_revision() -> None:
    delta = delta_for_daemons(CommittedRevision(7, (OPERATOR,), ()))
    assert (delta.base, delta.revision, delta.puts, delta.deletes) == (6, 7, (), ())


class RecordingFollower:
    """Records the configuration in force and the serving bases."""

    def __init__(self) -> None:
        self.current = Configuration()
        self.bases: list[ServingBasis] = []

    def take_effect(self, previous: Configuration, current: Configuration) -> None:
        self.current = current

    def start_serving(self, basis: ServingBasis) -> None:
        self.bases.append(basis)

    def fetch_from_peer(self, peer: str, revision: int) -> None:
        pass

    def connect_to_peers(self, endpoints: tuple[object, ...]) -> None:
        pass


async def test_daemon_of_a_real_control_node_has_no_operators(tmp_path: Path) -> None:
    group = Group(tmp_path, voters=1)
    follower = RecordingFollower()
    try:
        await asyncio.to_thread(group.start_all)
        revision = await asyncio.to_thread(group.bootstrap, Service(name="s1"))
        address = ControlAddress(group.nodes[0].distribution)
        identity = ClientIdentity("d", "1", "s1", "z")
        runner = FollowerRunner(identity, [address], follower, random.Random(1))
        running = asyncio.create_task(runner.run())
        async with asyncio.timeout(20.0):
            while not follower.bases:  # noqa: ASYNC110 - set by another task
                await asyncio.sleep(0.02)
        running.cancel()
        assert follower.current.revision == revision
        assert set(follower.current.resources) == {ResourceKey("service", "s1")}
        assert b"token" not in msgspec.json.encode(tuple(follower.current.resources.values()))
    finally:
        group.close()
