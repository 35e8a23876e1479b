"""Checks that the incremental check never accepts a configuration that the full check rejects."""

from hypothesis import given, settings
from hypothesis import strategies as st

from finchshed.configuration.changes import Change, Invalid
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
from finchshed.configuration.store import BOOTSTRAP_OPERATOR, ConfigurationStore
from finchshed.configuration.validation import keeps_sound, problems_of

ANA = Operator("ana", "a" * 64)

addresses = st.sampled_from(["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:0", "10.0.0.999:80"])
resources = st.one_of(
    st.builds(
        Service,
        name=st.sampled_from("xy"),
        routes=st.lists(st.builds(Route, st.sampled_from(["/", "/a"])), max_size=2).map(tuple),
    ),
    st.builds(
        Endpoint,
        name=st.sampled_from("ef"),
        service=st.sampled_from("xy"),
        region=st.just("r"),
        zone=st.just("z"),
        address=addresses,
        slots=st.just(1),
    ),
    st.builds(
        Policy,
        name=st.sampled_from(["default", "other"]),
        ledger_shards=st.lists(
            st.lists(addresses, min_size=1, max_size=2).map(tuple), max_size=2
        ).map(tuple),
    ),
    st.builds(Operator, st.sampled_from(["ana", "ben"]), st.sampled_from(["a" * 64, "b" * 64])),
)
keys = st.builds(
    ResourceKey, st.sampled_from(["service", "endpoint", "policy"]), st.sampled_from("xyef")
)
changes = st.lists(
    st.tuples(st.lists(resources, max_size=2, unique_by=key_of), st.lists(keys, max_size=1)),
    max_size=6,
)


@settings(max_examples=1_000, deadline=None, derandomize=True)
@given(changes)
def test_a_sound_configuration_is_never_left_for_one_that_contradicts_itself(
    history: list[tuple[list[Resource], list[ResourceKey]]],
) -> None:
    sound: dict[ResourceKey, Resource] = {}
    for puts, deletes in history:
        candidate = {key: item for key, item in sound.items() if key not in deletes}
        candidate.update({key_of(item): item for item in puts})
        problems = problems_of(candidate)
        if keeps_sound(candidate, puts, deletes):
            assert problems == []
        if not problems:
            sound = candidate


def test_shards_with_a_common_address_are_invalid() -> None:
    store = ConfigurationStore()
    policy = Policy(ledger_shards=(("10.0.0.1:1", "10.0.0.2:1"), ("10.0.0.1:1",)))
    result = store.apply(Change("first", BOOTSTRAP_OPERATOR, 0, (ANA, policy)))
    assert isinstance(result, Invalid)
    assert "given 2 times" in result.problems[0]
