"""Checks that the incremental check agrees with validation of the whole configuration."""

from hypothesis import given, settings
from hypothesis import strategies as st

from finchshed.configuration.resources import (
    Endpoint,
    Operator,
    Policy,
    Resource,
    ResourceKey,
    Route,
    Service,
    key_of,
)
from finchshed.configuration.validation import keeps_sound, problems_of

NAMES = st.sampled_from(["a", "b", "c"])
ADDRESSES = st.sampled_from(
    ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.300:1", "10.0.0.1:0"]
)

RESOURCES: st.SearchStrategy[Resource] = st.one_of(
    st.builds(
        Service,
        name=NAMES,
        max_sessions=st.integers(0, 1),
        routes=st.lists(
            st.builds(Route, prefix=st.sampled_from(["/", "/x"]), session=st.booleans()),
            max_size=2,
        ).map(tuple),
    ),
    st.builds(
        Endpoint,
        name=NAMES,
        service=NAMES,
        region=st.just("r"),
        zone=st.just("z"),
        address=ADDRESSES,
        slots=st.just(1),
    ),
    st.builds(Operator, name=NAMES, token_sha256=st.sampled_from(["a" * 64, "b" * 64])),
    st.builds(Policy, name=st.sampled_from(["default", "other"])),
)


def changed(
    resources: dict[ResourceKey, Resource], puts: list[Resource], deletes: list[ResourceKey]
) -> dict[ResourceKey, Resource]:
    candidate = {key: item for key, item in resources.items() if key not in deletes}
    return candidate | {key_of(put): put for put in puts}


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.lists(RESOURCES, max_size=3), st.integers(0, 20)), max_size=12))
def test_what_is_taken_without_a_whole_check_passes_one(
    steps: list[tuple[list[Resource], int]],
) -> None:
    resources: dict[ResourceKey, Resource] = {}
    for drawn, position in steps:
        puts = list({key_of(put): put for put in drawn}.values())
        deletes = sorted(resources)[position : position + 1]
        candidate = changed(resources, puts, deletes)
        is_sound = not problems_of(candidate)
        assert is_sound or not keeps_sound(candidate, puts, deletes)
        if is_sound:
            resources = candidate


def test_valid_change_of_each_kind_needs_no_full_check() -> None:
    service = Service(name="a")
    endpoint = Endpoint(name="e", service="a", region="r", zone="z", address="10.0.0.1:1", slots=1)
    operator = Operator(name="ana", token_sha256="a" * 64)
    for put in (service, endpoint, operator, Policy()):
        resources = changed({}, [service, endpoint, operator, put], [])
        assert keeps_sound(resources, [put], [])
    assert keeps_sound({key_of(service): service}, [], [key_of(endpoint)])
