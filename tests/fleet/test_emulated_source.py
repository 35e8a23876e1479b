import pathlib

import pytest

from finchshed.common.errors import SettingsError
from finchshed.common.importance import Importance
from finchshed.configuration.declarations import read_declarations
from finchshed.configuration.resources import Endpoint, Policy, Service
from finchshed.emulator.deployment import Deployment, Hop, RequestKind, ServiceModel
from finchshed.emulator.presets import PRESETS
from finchshed.fleet.deployment import DECLARATIONS_FOLDER, read_deployment
from finchshed.fleet.emulated_source import write_source
from finchshed.fleet.model import emulated_deployment


@pytest.mark.parametrize("name", ["brazos-ridge", "manila"])
def test_written_deployment_is_the_emulators(name: str, tmp_path: pathlib.Path) -> None:
    emulated = PRESETS[name]
    write_source(tmp_path, emulated, control_nodes=3, retry_budget=2)
    deployment = read_deployment(tmp_path)
    back = emulated_deployment(tmp_path, deployment, emulated.deep_service)
    assert back.services == emulated.services
    assert back.zones == emulated.zones
    assert back.arrivals_per_second == pytest.approx(emulated.arrivals_per_second)
    shares = {kind.name: kind.share for kind in back.kinds}
    assert shares == pytest.approx({kind.name: kind.share for kind in emulated.kinds})
    hops = {kind.name: kind.hop for kind in back.kinds}
    assert hops == {kind.name: kind.hop for kind in emulated.kinds}
    importances = {kind.name: kind.importance for kind in back.kinds}
    assert importances == {kind.name: kind.importance for kind in emulated.kinds}
    assert [node.name for node in deployment.control] == ["control-1", "control-2", "control-3"]


def test_declarations_are_valid_and_whole(tmp_path: pathlib.Path) -> None:
    emulated = PRESETS["brazos-ridge"]
    write_source(tmp_path, emulated, control_nodes=0, retry_budget=2)
    resources = read_declarations(tmp_path / DECLARATIONS_FOLDER).resources.values()
    endpoints = [item for item in resources if isinstance(item, Endpoint)]
    assert len(endpoints) == sum(service.back_ends for service in emulated.services)
    assert len({item.address for item in endpoints}) == len(endpoints)
    (policy,) = (item for item in resources if isinstance(item, Policy))
    assert policy.retry_budget == 2
    sales = next(i for i in resources if isinstance(i, Service) and i.name == "licence-sales")
    assert [route.prefix for route in sales.routes if not route.repeatable] == ["/purchase/"]


def test_service_time_that_differs_by_kind_is_refused(tmp_path: pathlib.Path) -> None:
    def kind(name: str, seconds: float) -> RequestKind:
        hop = Hop(service="one", seconds=seconds)
        return RequestKind(name=name, importance=Importance.NORMAL, share=0.5, hop=hop)

    emulated = Deployment(
        name="two-times",
        zones=("a",),
        zone_delay_seconds=0.0,
        client_delay_seconds=0.0,
        services=(ServiceModel(name="one", back_ends=1, slots=1),),
        kinds=(kind("x", 0.1), kind("y", 0.2)),
        arrivals_per_second=1.0,
        deep_service="one",
    )
    with pytest.raises(SettingsError, match="differs by kind"):
        write_source(tmp_path, emulated, control_nodes=3, retry_budget=3)
