"""Property tests of the store over random histories of concurrent, resent and restarted changes."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from finchshed.configuration.changes import Accepted, Change, ChangeResult
from finchshed.configuration.resources import Operator, Service
from finchshed.configuration.store import BOOTSTRAP_OPERATOR, ConfigurationStore, StoreSnapshot

ANA = Operator(name="ana", token_sha256="a" * 64)

steps = st.lists(
    st.tuples(st.integers(0, 15), st.integers(0, 6), st.integers(0, 3), st.booleans()),
    max_size=40,
)


def change_number(number: int, lag: int, service: int, revision: int) -> Change:
    resource = Service(name=f"s{service}", max_sessions=number)
    return Change(f"c{number}", "ana", max(0, revision - lag), (resource,))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(steps)
def test_each_revision_has_one_winner_and_each_identity_one_result(
    history: list[tuple[int, int, int, bool]],
) -> None:
    store = ConfigurationStore()
    store.apply(Change("first", BOOTSTRAP_OPERATOR, 0, (ANA,)))
    sent: dict[str, Change] = {}
    first_results: dict[str, ChangeResult] = {}
    winners: dict[int, str] = {1: "first"}
    for number, lag, service, restart in history:
        if restart:
            data = msgspec.json.encode(store.snapshot())
            store = ConfigurationStore()
            store.restore(msgspec.json.decode(data, type=StoreSnapshot))
        identity = f"c{number}"
        change = sent.setdefault(identity, change_number(number, lag, service, store.revision))
        before = store.revision
        result = store.apply(change)
        assert result == first_results.setdefault(identity, result)
        if isinstance(result, Accepted):
            assert winners.setdefault(result.revision, identity) == identity
        assert store.revision in (before, before + 1)
    assert sorted(winners) == list(range(1, store.revision + 1))
