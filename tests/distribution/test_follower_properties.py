"""Property tests: a follower never reverts, whatever the order of messages and restarts."""

from hypothesis import given, settings
from hypothesis import strategies as st

from finchshed.configuration.resources import Resource, ResourceKey, Service, key_of
from finchshed.distribution.effects import FollowerRecord, PersistRecord
from finchshed.distribution.follower import Follower, FollowerIdentity
from finchshed.distribution.messages import Delta
from finchshed.distribution.snapshot import Configuration, apply_delta, full_delta, merge

HERE = FollowerIdentity(zone="z1")
LAST_REVISION = 8
NAMES = ("a", "b", "c")


def change(revision: int) -> Delta:
    """Return the change to ``revision`` in a fixed history of puts and deletes."""
    name = NAMES[revision % len(NAMES)]
    if revision % 4 == 0:
        return Delta(revision - 1, revision, deletes=(ResourceKey(kind="service", name=name),))
    put: Resource = Service(name=name, deadline_seconds=float(revision))
    return Delta(revision - 1, revision, puts=(put,))


def history() -> list[Configuration]:
    states = [Configuration()]
    for revision in range(1, LAST_REVISION + 1):
        states.append(apply_delta(states[-1], change(revision)))
    return states


HISTORY = history()


def delta_between(base: int, revision: int, confirmed: bool) -> Delta:
    if base == 0:
        return full_delta(HISTORY[revision], confirmed)
    if base == revision:
        return Delta(base, revision, confirmed=confirmed)
    merged = merge(change(number) for number in range(base + 1, revision + 1))
    return Delta(base, revision, merged.puts, merged.deletes, confirmed)


revisions = st.integers(0, LAST_REVISION)
deltas = st.tuples(revisions, revisions, st.booleans()).map(
    lambda parts: delta_between(min(parts[:2]), max(parts[:2]), parts[2])
)
events = st.lists(
    st.one_of(
        st.tuples(st.just("control"), deltas),
        st.tuples(st.just("peer"), deltas),
        st.tuples(st.just("heard"), revisions),
        st.tuples(st.sampled_from(["persisted", "persist_failed", "tick", "restart"]), st.none()),
    ),
    max_size=40,
)


class Machine:
    """A follower with a simulated disk that keeps only synced records over restarts."""

    def __init__(self, has_disk: bool) -> None:
        self.has_disk = has_disk
        self.disk: FollowerRecord | None = None
        self.pending: FollowerRecord | None = None
        self.now = 0.0
        self.start()

    def start(self) -> None:
        self.follower = Follower(HERE, self.has_disk, self.disk)
        self.pending = None
        self.follower.start(self.now)

    def feed(self, kind: str, argument: object) -> None:
        self.now += 0.3
        follower = self.follower
        effects: object = ()
        if isinstance(argument, Delta):
            if kind == "control":
                effects = follower.on_control_delta(argument, self.now)
            else:
                effects = follower.on_peer_delta("p", argument, self.now)
        elif isinstance(argument, int):
            effects = follower.on_peer_revision("q", argument, self.now)
        elif kind == "persisted" and self.pending is not None:
            self.disk, self.pending = self.pending, None
            effects = follower.on_persisted(self.now)
        elif kind == "persist_failed" and self.pending is not None:
            self.pending = None
            effects = follower.on_persist_failed(self.now)
        elif kind == "tick":
            effects = follower.tick(self.now)
        elif kind == "restart":
            self.start()
        for effect in effects:  # type: ignore[attr-defined]
            if isinstance(effect, PersistRecord):
                self.pending = effect.record


@settings(max_examples=400, deadline=None, derandomize=True)
@given(has_disk=st.booleans(), script=events)
def test_never_reverts_and_holds_exactly_what_was_accepted(
    has_disk: bool, script: list[tuple[str, object]]
) -> None:
    machine = Machine(has_disk)
    reached = served = 0
    disk_failed = False
    for kind, argument in script:
        failing = kind == "persist_failed" and machine.pending is not None
        machine.feed(kind, argument)
        follower = machine.follower
        disk_failed = disk_failed or failing
        if kind == "restart" and not has_disk:
            reached = 0
        if kind == "restart" and disk_failed:
            reached = 0
        assert follower.revision >= reached
        reached = follower.revision
        assert follower.highest_seen >= follower.revision
        assert follower.configuration.resources == HISTORY[reached].resources
        if follower.may_serve and has_disk and not disk_failed:
            assert reached >= served
            served = reached


@settings(max_examples=200, deadline=None, derandomize=True)
@given(base=st.integers(1, LAST_REVISION), held=revisions, revision=revisions)
def test_a_merged_delta_fits_every_revision_it_spans(base: int, held: int, revision: int) -> None:
    low, middle, high = sorted((base, max(held, 1), max(revision, 1)))
    if low == high:
        return
    merged = merge(change(number) for number in range(low + 1, high + 1))
    result = apply_delta(HISTORY[middle], merged)
    assert result.resources == HISTORY[high].resources
    assert {key_of(item) for item in merged.puts}.isdisjoint(merged.deletes)
