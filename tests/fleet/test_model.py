import pathlib

import pytest

from finchshed.common.errors import SettingsError
from finchshed.common.importance import Importance
from finchshed.emulator.deployment import hops_of
from finchshed.fleet import acts
from finchshed.fleet.comparison import plan_of, slow_acts_of
from finchshed.fleet.deployment import read_deployment
from finchshed.fleet.model import emulated_deployment, made_alike
from finchshed.fleet.scenario import Scenario
from finchshed.standins.settings import Phase

BRAZOS = pathlib.Path(__file__).parents[2] / "examples" / "brazos"


def test_emulated_deployment_has_the_fleets_services_and_demand() -> None:
    deployment = made_alike(read_deployment(BRAZOS))
    model = emulated_deployment(BRAZOS, deployment, "regulations-lookup")
    sizes = {service.name: (service.back_ends, service.slots) for service in model.services}
    assert sizes["regulations-lookup"] == (5, 6)
    assert model.arrivals_per_second == 92.0
    assert sum(kind.share for kind in model.kinds) == pytest.approx(1.0)
    assert "download" not in {kind.name for kind in model.kinds}
    check = model.kind("check")
    assert check.importance is Importance.CRITICAL
    chain = [hop.service for hop in hops_of(check.hop)]
    assert chain == ["officer-verification", "licence-sales", "regulations-lookup"]
    assert not model.kind("purchase").repeatable


def scenario(*script: acts.FaultAct) -> Scenario:
    phases = (
        Phase(name="calm", duration_seconds=5.0),
        Phase(name="surge", duration_seconds=4.0, factor=3.0),
        Phase(name="after", duration_seconds=6.0),
    )
    return Scenario(name="x", description="", phase=phases, act=script)


def test_trigger_is_the_phase_of_the_highest_factor() -> None:
    model = emulated_deployment(BRAZOS, made_alike(read_deployment(BRAZOS)), "licence-sales")
    plan = plan_of(scenario(), model)
    assert (plan.before.end, plan.overload.start, plan.overload.end, plan.end) == (5, 5, 9, 15)


def test_only_slow_services_can_be_compared() -> None:
    slow = acts.Slow(at=1.0, target="licence-sales", factor=2.0, duration_seconds=1.0)
    assert slow_acts_of(scenario(slow)) == [slow]
    with pytest.raises(SettingsError, match="kind slow"):
        slow_acts_of(scenario(slow, acts.Kill(at=1.0, target="edge-north")))
    with pytest.raises(SettingsError, match="kind slow"):
        slow_acts_of(scenario())
