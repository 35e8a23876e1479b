"""Every hop of a root request ranks it alike, so no hop undoes what another decided."""

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
def test_all_hops_see_one_rank(deployment: Deployment, monkeypatch: pytest.MonkeyPatch) -> None:
    ranks: dict[str, list[int]] = defaultdict(list)
    arrive = Gate.arrive

    def noted(
        self: Gate, token: int, context: CallContext, now: float, floor: float = 0.0
    ) -> list[GateEffect]:
        ranks[context.root].append(rank_of(context))
        return arrive(self, token, context, now, floor)

    monkeypatch.setattr(Gate, "arrive", noted)
    world.run(
        RunSpecification(
            deployment=deployment,
            seed=3,
            seconds=1.0,
            client=ClientPolicy(attempts=1),
        )
    )
    several = [seen for seen in ranks.values() if len(seen) > 1]
    assert len(several) > 10
    assert all(len(set(seen)) == 1 for seen in several)
