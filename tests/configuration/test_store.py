import msgspec

from finchshed.configuration.changes import Accepted, Change, Conflict, Invalid
from finchshed.configuration.resources import (
    Endpoint,
    Operator,
    Resource,
    ResourceKey,
    Service,
)
from finchshed.configuration.store import (
    BOOTSTRAP_OPERATOR,
    MAX_PROBLEMS_CHARACTERS,
    RETAINED_RESULT_BYTES,
    ConfigurationStore,
    StoreSnapshot,
)

ANA = Operator(name="ana", token_sha256="a" * 64)
BEN = Operator(name="ben", token_sha256="b" * 64)


def change(
    identity: str, expected: int, *puts: Resource, operator: str = "ana", deletes: str = ""
) -> Change:
    keys = tuple(ResourceKey(*text.split("/")) for text in deletes.split())
    return Change(identity, operator, expected, puts, keys)


def store_with_operators() -> ConfigurationStore:
    store = ConfigurationStore()
    first = change("first", 0, ANA, BEN, operator=BOOTSTRAP_OPERATOR)
    assert store.apply(first) == Accepted(1)
    return store


def restarted(store: ConfigurationStore) -> ConfigurationStore:
    """Return a store restored from the bytes of a snapshot."""
    data = msgspec.json.encode(store.snapshot())
    other = ConfigurationStore()
    other.restore(msgspec.json.decode(data, type=StoreSnapshot))
    return other


def test_one_change_per_revision_wins_and_is_named_to_the_others() -> None:
    store = store_with_operators()
    assert store.apply(change("one", 1, Service(name="a"))) == Accepted(2)
    conflict = Conflict(2, "one", "ana")
    assert store.apply(change("two", 1, Service(name="b"), operator="ben")) == conflict
    assert ResourceKey("service", "b") not in store.resources


def test_conflict_names_the_change_that_took_the_expected_revision() -> None:
    store = store_with_operators()
    for number in range(3):
        store.apply(change(f"c{number}", 1 + number, Service(name=f"s{number}")))
    assert store.apply(change("late", 2, Service(name="x"))) == Conflict(4, "c1", "ana")


def test_resend_gets_the_first_result_after_restart_and_later_changes() -> None:
    store = store_with_operators()
    accepted = change("accepted", 1, Service(name="a"))
    refused = change("refused", 1, Service(name="b"))
    results = [store.apply(accepted), store.apply(refused)]
    store.apply(change("later", 2, Service(name="c")))
    for again in (store, restarted(store)):
        assert [again.apply(accepted), again.apply(refused)] == results
        assert again.revision == 3


def test_reused_change_id_is_invalid() -> None:
    store = store_with_operators()
    store.apply(change("same", 1, Service(name="a")))
    assert isinstance(store.apply(change("same", 2, Service(name="b"))), Invalid)
    assert store.revision == 2


def test_retained_results_are_bounded_and_late_resends_are_not_applied() -> None:
    store = ConfigurationStore(result_retention=5)
    first = change("first", 0, ANA, operator=BOOTSTRAP_OPERATOR)
    store.apply(first)
    for number in range(20):
        store.apply(change(f"c{number}", 1 + number, Service(name="s", max_sessions=number)))
    snapshot = store.snapshot()
    assert len(snapshot.results) == 5
    assert len(snapshot.winners) == 5
    assert isinstance(store.apply(change("c0", 1, Service(name="s"))), Conflict)
    assert store.revision == 21


def test_state_is_equal_after_600_changes_and_a_restart() -> None:
    store = store_with_operators()
    for number in range(600):
        result = store.apply(
            change(f"c{number}", 1 + number, Service(name=f"s{number % 40}", max_sessions=number))
        )
        assert result == Accepted(2 + number)
    again = restarted(store)
    assert again.resources == store.resources
    assert again.snapshot() == store.snapshot()


def test_only_declared_operators_may_change_and_bootstrap_works_once() -> None:
    store = ConfigurationStore()
    assert isinstance(store.apply(change("x", 0, Service(name="a"))), Invalid)
    assert store.apply(change("y", 0, ANA, operator=BOOTSTRAP_OPERATOR)) == Accepted(1)
    late = change("z", 1, Service(name="a"), operator=BOOTSTRAP_OPERATOR)
    assert isinstance(store.apply(late), Invalid)
    assert store.revision == 1


def test_last_operator_cannot_be_deleted() -> None:
    store = store_with_operators()
    result = store.apply(change("x", 1, deletes="operator/ana operator/ben"))
    assert isinstance(result, Invalid)
    assert store.apply(change("y", 1, deletes="operator/ben")) == Accepted(2)


def test_invalid_change_is_not_applied_and_reports_all_problems() -> None:
    store = store_with_operators()
    stray = Endpoint(
        name="e", service="missing", region="r", zone="z", address="10.0.0.1:0", slots=1
    )
    result = store.apply(change("x", 1, Service(name="good"), stray))
    assert isinstance(result, Invalid)
    assert any("service = 'missing'" in problem for problem in result.problems)
    assert any("address = '10.0.0.1:0'" in problem for problem in result.problems)
    assert store.resources.keys() == {
        ResourceKey("operator", "ana"),
        ResourceKey("operator", "ben"),
    }


def test_service_used_by_endpoints_cannot_be_deleted() -> None:
    store = store_with_operators()
    endpoint = Endpoint(name="e", service="s", region="r", zone="z", address="10.0.0.1:80", slots=1)
    assert store.apply(change("x", 1, Service(name="s"), endpoint)) == Accepted(2)
    assert isinstance(store.apply(change("y", 2, deletes="service/s")), Invalid)
    assert store.apply(change("z", 2, deletes="service/s endpoint/e")) == Accepted(3)


def test_results_of_invalid_changes_are_bounded_in_bytes() -> None:
    # Guards against results that grow with what the author of a change writes.
    store = store_with_operators()
    size = 0
    for number in range(6_000):
        made = change(f"bad-{number}", 1, deletes=" ".join(f"x/{at:x<900}" for at in range(20)))
        result = store.apply(made)
        assert isinstance(result, Invalid)
        assert sum(map(len, result.problems)) <= MAX_PROBLEMS_CHARACTERS + 100
        assert "further problems" in result.problems[-1]
        size += len(msgspec.json.encode(result))
    assert size > RETAINED_RESULT_BYTES
    assert len(msgspec.json.encode(store.snapshot())) <= 1.1 * RETAINED_RESULT_BYTES
    assert restarted(store).apply(made) == result
