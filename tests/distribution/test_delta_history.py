from finchshed.configuration.resources import ResourceKey, Service
from finchshed.distribution.delta_history import DeltaHistory
from finchshed.distribution.messages import Delta
from finchshed.distribution.snapshot import Configuration, apply_delta, full_delta


def change(revision: int, name: str) -> Delta:
    return Delta(revision - 1, revision, puts=(Service(name=name, deadline_seconds=revision),))


def state(*deltas: Delta) -> Configuration:
    first = Delta(0, 1, puts=tuple(Service(name=f"s{number}") for number in range(10)))
    configuration = apply_delta(Configuration(), first)
    for delta in deltas:
        configuration = apply_delta(configuration, delta)
    return configuration


def test_shorter_of_merged_and_full_delta_is_used() -> None:
    history = DeltaHistory(100)
    deltas = [change(revision, f"s{revision % 10}") for revision in range(2, 20)]
    for delta in deltas:
        history.append(delta)
    now = state(*deltas)
    assert history.between(18, now) == deltas[-1]
    assert history.between(1, now) == full_delta(now)
    assert history.between(0, now) == full_delta(now)


def test_evicted_changes_are_sent_as_a_full_delta() -> None:
    history = DeltaHistory(2)
    deltas = [change(revision, "s1") for revision in range(2, 6)]
    for delta in deltas:
        history.append(delta)
    now = state(*deltas)
    assert history.between(3, now) == Delta(3, 5, puts=deltas[-1].puts)
    assert history.between(2, now) == full_delta(now)


def test_overlapping_deltas_are_consecutive() -> None:
    history = DeltaHistory(10)
    key = ResourceKey("service", "s3")
    history.append(Delta(1, 4, deletes=(key,)))
    history.append(Delta(2, 6, puts=(Service(name="s4", max_sessions=1),), deletes=(key,)))
    now = state(Delta(1, 4, deletes=(key,)), Delta(2, 6, puts=(Service("s4", max_sessions=1),)))
    found = history.between(1, now)
    assert apply_delta(state(), found) == now
    assert found.base == 1


def test_full_delta_clears_the_history() -> None:
    history = DeltaHistory(10)
    history.append(change(2, "s1"))
    history.append(full_delta(state(change(2, "s1"))))
    assert history.between(1, state(change(2, "s1"))) == full_delta(state(change(2, "s1")))


def test_changes_after_the_requested_revision_are_omitted() -> None:
    history = DeltaHistory(10)
    first, second = change(2, "s1"), change(3, "s2")
    history.append(first)
    history.append(second)
    assert history.between(1, state(first)) == first


def test_large_changes_are_evicted_sooner() -> None:
    puts = tuple(Service(name=f"s{number}", health_path="/" + "x" * 1000) for number in range(10))
    history = DeltaHistory(100, max_bytes=25_000)
    for revision in range(2, 12):
        history.append(Delta(revision - 1, revision, puts=puts))
    # Two besides the latest, whose resources are those of the configuration.
    assert len(history) == 3
    assert history.encoded_bytes < 35_000


def test_latest_change_is_kept_whatever_its_size() -> None:
    history = DeltaHistory(100, max_bytes=1)
    deltas = [change(revision, "s1") for revision in range(2, 6)]
    for delta in deltas:
        history.append(delta)
    assert history.between(4, state(*deltas)) == deltas[-1]
