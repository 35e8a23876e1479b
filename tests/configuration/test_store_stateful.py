"""Stateful test of the store against a reference model, with resends and restarts."""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from finchshed.configuration.changes import Accepted, Change, ChangeResult, Conflict, Invalid
from finchshed.configuration.resources import (
    Endpoint,
    Operator,
    Resource,
    ResourceKey,
    Service,
    key_of,
)
from finchshed.configuration.store import BOOTSTRAP_OPERATOR, ConfigurationStore, StoreSnapshot

RETENTION = 5
NAMES = ("ana", "ben")

operators = st.sampled_from([BOOTSTRAP_OPERATOR, *NAMES, "nobody"])
resources = st.one_of(
    st.builds(Service, name=st.sampled_from("xyz"), max_sessions=st.integers(0, 3)),
    st.builds(
        Endpoint,
        name=st.sampled_from("ef"),
        service=st.sampled_from("xyz"),
        region=st.just("r"),
        zone=st.just("z"),
        address=st.sampled_from(["10.0.0.1:80", "10.0.0.2:80", "10.0.0.1:0"]),
        slots=st.just(1),
    ),
    st.sampled_from([Operator(name, name[0] * 64) for name in NAMES]),
)
keys = st.builds(
    ResourceKey,
    kind=st.sampled_from(["service", "endpoint", "operator"]),
    name=st.sampled_from(["x", "e", "ana", "ben"]),
)


class StoreMachine(RuleBasedStateMachine):
    changes = Bundle("changes")

    def __init__(self) -> None:
        super().__init__()
        self.continuous = ConfigurationStore(RETENTION)
        self.restarted = ConfigurationStore(RETENTION)
        self.model: dict[ResourceKey, Resource] = {}
        self.revision = 0
        self.retained_results: dict[str, ChangeResult] = {}
        self.accepted_at: dict[str, int] = {}
        self.changes_made = 0

    def apply(self, change: Change) -> ChangeResult:
        result = self.continuous.apply(change)
        assert self.restarted.apply(change) == result
        committed = self.continuous.last_committed
        assert self.restarted.last_committed == committed
        if committed is not None:
            assert result == Accepted(self.revision + 1)
            self._accept(change)
        return result

    def _accept(self, change: Change) -> None:
        assert change.change_id not in self.accepted_at, "applied twice"
        assert change.expected_revision == self.revision
        assert change.operator in self._allowed()
        self.revision += 1
        self.accepted_at[change.change_id] = self.revision
        for key in change.deletes:
            self.model.pop(key, None)
        self.model.update({key_of(resource): resource for resource in change.puts})

    def _allowed(self) -> set[str]:
        declared = {key.name for key in self.model if key.kind == "operator"}
        return declared or {BOOTSTRAP_OPERATOR}

    @rule(
        target=changes,
        operator=operators,
        behind=st.integers(-1, 2),
        puts=st.lists(resources, max_size=3),
        deletes=st.lists(keys, max_size=2, unique=True),
    )
    def submit(
        self,
        operator: str,
        behind: int,
        puts: list[Resource],
        deletes: list[ResourceKey],
    ) -> Change:
        self.changes_made += 1
        expected = max(0, self.revision - behind)
        change = Change(f"c{self.changes_made}", operator, expected, tuple(puts), tuple(deletes))
        before = self.revision
        result = self.apply(change)
        if expected != before:
            assert isinstance(result, Conflict)
        if isinstance(result, Conflict) and expected < before:
            winner = self.accepted_at.get(result.winner_change_id)
            assert winner in (expected + 1, before)
        self._retain(change, result)
        return change

    @rule(change=changes)
    def resend(self, change: Change) -> None:
        """A resend returns the first result while retained and is never applied twice."""
        retained = self.continuous.result_of(change.change_id)
        result = self.apply(change)
        if change.change_id in self.retained_results:
            assert retained == result == self.retained_results[change.change_id]
        else:
            self._retain(change, result)

    @rule(change=changes)
    def use_its_identity_for_another_change(self, change: Change) -> None:
        if change.change_id in self.retained_results:
            other = msgspec.structs.replace(change, puts=(Service(name="other"),), deletes=())
            assert isinstance(self.apply(other), Invalid)

    @rule()
    def restart(self) -> None:
        data = msgspec.json.encode(self.restarted.snapshot())
        self.restarted = ConfigurationStore(RETENTION)
        self.restarted.restore(msgspec.json.decode(data, type=StoreSnapshot))

    @invariant()
    def holds_what_was_accepted(self) -> None:
        for store in (self.continuous, self.restarted):
            assert store.revision == self.revision
            assert store.resources == self.model
            assert set(store.operators()) == {
                item.token_sha256 for item in self.model.values() if isinstance(item, Operator)
            }

    @invariant()
    def is_bounded_and_equal_after_restarts(self) -> None:
        snapshot = self.continuous.snapshot()
        assert len(snapshot.results) <= RETENTION
        assert len(snapshot.winners) <= RETENTION
        assert snapshot == self.restarted.snapshot()

    @invariant()
    def is_sound(self) -> None:
        services = {key.name for key in self.model if key.kind == "service"}
        endpoints = [item for item in self.model.values() if isinstance(item, Endpoint)]
        assert {endpoint.service for endpoint in endpoints} <= services
        addresses = [endpoint.address for endpoint in endpoints]
        assert len(addresses) == len(set(addresses))

    def _retain(self, change: Change, result: ChangeResult) -> None:
        self.retained_results[change.change_id] = result
        while len(self.retained_results) > RETENTION:
            del self.retained_results[next(iter(self.retained_results))]


def test_no_order_of_changes_resends_and_restarts_breaks_the_store() -> None:
    run_state_machine_as_test(
        StoreMachine,
        settings=settings(
            max_examples=250, stateful_step_count=50, deadline=None, derandomize=True
        ),
    )
