"""Assignment of keys to epochs and shards."""

import random

import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st

from finchshed.ledger.epochs import (
    CLOCK_LEAD_SECONDS,
    CONFIRMATION_VALIDITY_SECONDS,
    CONTROL_GROUP,
    SHARD_CHANGE_LEAD_SECONDS,
    EpochsSnapshot,
    LedgerEpochs,
)
from finchshed.ledger.keys import new_key

START = 1_800_000_000.0
ONE_SHARD = (("10.0.0.1:1",),)
TWO_SHARDS = (*ONE_SHARD, ("10.0.0.2:1",))
OTHER_SHARD = (("10.0.0.9:1",),)
THREE_SHARDS = (*TWO_SHARDS, ("10.0.0.3:1",))


def key_issued_at(time: float, seed: int = 1) -> str:
    return new_key(time, random.Random(seed))


def used_epochs() -> LedgerEpochs:
    epochs = LedgerEpochs()
    epochs.is_used = True
    return epochs


def test_unused_ledger_moves_to_shards_at_once() -> None:
    epochs = LedgerEpochs()
    epochs.declare(TWO_SHARDS, START)
    assert epochs.group_of(key_issued_at(START - 100.0)) in TWO_SHARDS
    assert epochs.group_of(key_issued_at(START)) in TWO_SHARDS


def test_keys_issued_before_the_epoch_stay_in_the_control_group() -> None:
    epochs = used_epochs()
    epochs.declare(ONE_SHARD, START)
    assert epochs.group_of(key_issued_at(START + CLOCK_LEAD_SECONDS - 0.01)) == CONTROL_GROUP
    assert epochs.group_of(key_issued_at(START + CLOCK_LEAD_SECONDS)) == ONE_SHARD[0]
    assert epochs.group_of("no key") == CONTROL_GROUP


def test_declaring_the_same_shards_again_starts_no_epoch() -> None:
    epochs = used_epochs()
    epochs.declare(ONE_SHARD, START)
    before = epochs.snapshot()
    epochs.declare(ONE_SHARD, START + 500.0)
    assert epochs.snapshot() == before


def test_epoch_is_dropped_once_all_its_keys_have_expired() -> None:
    epochs = used_epochs()
    epochs.declare(ONE_SHARD, START)
    epochs.declare(TWO_SHARDS, START + 1_000.0)
    moved = START + 1_000.0 + SHARD_CHANGE_LEAD_SECONDS
    epochs.forget(moved - 1.0)
    assert epochs.group_of(key_issued_at(moved - 1.0)) == ONE_SHARD[0]
    epochs.forget(moved)
    assert epochs.groups() == set(TWO_SHARDS)


def test_keys_are_distributed_evenly() -> None:
    epochs = LedgerEpochs()
    epochs.declare(THREE_SHARDS, START)
    counts = dict.fromkeys(THREE_SHARDS, 0)
    for seed in range(3_000):
        counts[epochs.group_of(key_issued_at(START, seed))] += 1
    assert all(900 <= count <= 1_100 for count in counts.values())


shard_sets = st.sampled_from([(), ONE_SHARD, OTHER_SHARD, THREE_SHARDS])
histories = st.lists(st.tuples(st.floats(1.0, 2_000.0), shard_sets), min_size=1, max_size=6)


@settings(max_examples=1_000, deadline=None, derandomize=True)
@example(  # all bounds at their limit
    history=[(1.0, ONE_SHARD), (1_000.0, OTHER_SHARD)],
    since_last_change=CONFIRMATION_VALIDITY_SECONDS - 0.1,
    key_ahead=CLOCK_LEAD_SECONDS,
    lag=CONFIRMATION_VALIDITY_SECONDS,
    skew=CLOCK_LEAD_SECONDS,
    restart=False,
)
@given(
    history=histories,
    since_last_change=st.floats(0.0, 2 * CONFIRMATION_VALIDITY_SECONDS),
    key_ahead=st.floats(-600.0, CLOCK_LEAD_SECONDS),
    lag=st.floats(0.0, CONFIRMATION_VALIDITY_SECONDS),
    skew=st.floats(-CLOCK_LEAD_SECONDS, CLOCK_LEAD_SECONDS),
    restart=st.booleans(),
)
def test_lagging_node_routes_each_key_to_the_same_shard(
    *,
    history: list[tuple[float, tuple[tuple[str, ...], ...]]],
    since_last_change: float,
    key_ahead: float,
    lag: float,
    skew: float,
    restart: bool,
) -> None:
    """``skew`` is the clock offset of the lagging node from the leader that declares epochs."""
    up_to_date, lagging = used_epochs(), used_epochs()
    asked_at = START + sum(pause for pause, _ in history) + since_last_change
    committed_at = START
    for pause, shards in history:
        committed_at += pause
        up_to_date.declare(shards, committed_at)
        if committed_at <= asked_at - lag:
            lagging.declare(shards, committed_at)
    if restart:
        data = msgspec.json.encode(lagging.snapshot())
        lagging.restore(msgspec.json.decode(data, type=EpochsSnapshot))
    key = key_issued_at(asked_at + skew + key_ahead)
    lagging_group = lagging.group_of(key)
    if lagging_group != CONTROL_GROUP:  # the control group's log is up to date and decides itself
        assert lagging_group == up_to_date.group_of(key)
