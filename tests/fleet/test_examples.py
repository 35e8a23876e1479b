"""Sizes and consistency of the example deployments."""

import collections
import pathlib

import pytest

from finchshed.configuration.declarations import read_declarations
from finchshed.configuration.resources import Endpoint
from finchshed.fleet.deployment import DECLARATIONS_FOLDER, read_deployment

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"

SIZES = {
    "brazos": {
        "regulations-lookup": (5, 6),
        "licence-sales": (4, 8),
        "booklet-publishing": (4, 9),
        "officer-verification": (4, 10),
    },
    "manila": {
        "chart-tiles": (6, 13),
        "notices-to-mariners": (4, 16),
        "chart-distribution": (3, 20),
        "tide-prediction": (3, 23),
    },
}
ZONES = {"brazos": 4, "manila": 3}


def endpoints_of(name: str) -> list[Endpoint]:
    resources = read_declarations(EXAMPLES / name / DECLARATIONS_FOLDER).resources.values()
    return [resource for resource in resources if isinstance(resource, Endpoint)]


@pytest.mark.parametrize("name", sorted(SIZES))
def test_examples_have_the_expected_backends_and_slots(name: str) -> None:
    endpoints = endpoints_of(name)
    counts = collections.Counter((item.service, item.slots) for item in endpoints)
    assert counts == {(service, slots): n for service, (n, slots) in SIZES[name].items()}
    assert len({item.zone for item in endpoints}) == ZONES[name]


@pytest.mark.parametrize("name", sorted(SIZES))
def test_deployment_matches_its_declarations(name: str) -> None:
    deployment = read_deployment(EXAMPLES / name)
    endpoints = endpoints_of(name)
    assert {service.name for service in deployment.service} == {e.service for e in endpoints}
    assert {edge.zone for edge in deployment.edge} == {e.zone for e in endpoints}
    hosts = [machine.host for machine in (*deployment.control, *deployment.edge)]
    hosts += [endpoint.address.rpartition(":")[0] for endpoint in endpoints]
    assert len(hosts) == len(set(hosts))
