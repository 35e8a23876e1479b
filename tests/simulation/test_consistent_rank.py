"""All hops of a root request compute the same rank, and so make the same decision."""

from collections import defaultdict

import pytest

from finchshed.admission.effects import GateEffect
from finchshed.admission.gate import Gate
from finchshed.admission.rank import rank_of
from finchshed.common.context import CallContext
from finchshed.emulator import world
from finchshed.emulator.callers import ClientPolicy
from finchshed.emulator.deployment import Deployment
from finchshed.emulator.presets import BRAZOS_RIDGE, MANILA
from finchshed.emulator.run import RunSpecification
from tests.simulation.fan_out import FAN_OUT


@pytest.mark.parametrize(
    "deployment", [BRAZOS_RIDGE, MANILA, FAN_OUT], ids=lambda deployment: deployment.name
)
def test_all_hops_compute_the_same_rank(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    ranks: dict[str, list[int]] = defaultdict(list)
    arrive = Gate.arrive

    def record_rank(
        self: Gate, token: int, context: CallContext, now: float, path_threshold: float = 0.0
    ) -> list[GateEffect]:
        ranks[context.root].append(rank_of(context))
        return arrive(self, token, context, now, path_threshold)

    monkeypatch.setattr(Gate, "arrive", record_rank)
    world.run(
        RunSpecification(
            deployment=deployment,
            seed=3,
            seconds=1.0,
            client=ClientPolicy(attempts=1),
        )
    )
    several = [of_root for of_root in ranks.values() if len(of_root) > 1]
    assert len(several) > 10
    assert all(len(set(of_root)) == 1 for of_root in several)
