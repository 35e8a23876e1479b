import random

import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st

from finchshed.ledger.epochs import (
    CLOCK_LEAD_SECONDS,
    CONFIRMATION_VALIDITY_SECONDS,
    CONTROL_GROUP,
    MOVE_SECONDS,
    EpochsSnapshot,
    LedgerEpochs,
)
from finchshed.ledger.keys import new_key

START = 1_800_000_000.0
ONE = (("10.0.0.1:1",),)
TWO = (*ONE, ("10.0.0.2:1",))
OTHER = (("10.0.0.9:1",),)
THREE = (*TWO, ("10.0.0.3:1",))


def made_at(time: float, seed: int = 1) -> str:
    return new_key(time, random.Random(seed))


def used() -> LedgerEpochs:
    epochs = LedgerEpochs()
    epochs.is_used = True
    return epochs


def test_a_ledger_that_was_never_used_is_spread_at_once() -> None:
    epochs = LedgerEpochs()
    epochs.declare(TWO, START)
    assert epochs.group_of(made_at(START - 100.0)) in TWO
    assert epochs.group_of(made_at(START)) in TWO


def test_keys_the_own_ledger_may_have_begun_stay_there() -> None:
    epochs = used()
    epochs.declare(ONE, START)
    assert epochs.group_of(made_at(START + CLOCK_LEAD_SECONDS - 0.01)) == CONTROL_GROUP
    assert epochs.group_of(made_at(START + CLOCK_LEAD_SECONDS)) == ONE[0]
    assert epochs.group_of("no key") == CONTROL_GROUP


def test_declaring_the_same_again_begins_nothing() -> None:
    epochs = used()
    epochs.declare(ONE, START)
    before = epochs.snapshot()
    epochs.declare(ONE, START + 500.0)
    assert epochs.snapshot() == before


def test_an_epoch_is_forgotten_once_all_its_keys_are_past_the_window() -> None:
    epochs = used()
    epochs.declare(ONE, START)
    epochs.declare(TWO, START + 1_000.0)
    moved = START + 1_000.0 + MOVE_SECONDS
    epochs.forget(moved - 1.0)
    assert epochs.group_of(made_at(moved - 1.0)) == ONE[0]
    epochs.forget(moved)
    assert epochs.groups() == set(TWO)


def test_keys_are_spread_evenly() -> None:
    epochs = LedgerEpochs()
    epochs.declare(THREE, START)
    counts = dict.fromkeys(THREE, 0)
    for seed in range(3_000):
        counts[epochs.group_of(made_at(START, seed))] += 1
    assert all(900 <= count <= 1_100 for count in counts.values())


shard_sets = st.sampled_from([(), ONE, OTHER, THREE])
histories = st.lists(st.tuples(st.floats(1.0, 2_000.0), shard_sets), min_size=1, max_size=6)


@settings(max_examples=1_000, deadline=None, derandomize=True)
@example(  # every bound at its worst
    history=[(1.0, ONE), (1_000.0, OTHER)],
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
def test_a_node_that_lags_sends_no_key_to_another_shard_than_one_that_does_not(
    *,
    history: list[tuple[float, tuple[tuple[str, ...], ...]]],
    since_last_change: float,
    key_ahead: float,
    lag: float,
    skew: float,
    restart: bool,
) -> None:
    """``skew``: clock of the node that is asked, against the leader's that declares epochs."""
    up_to_date, lagging = used(), used()
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
    key = made_at(asked_at + skew + key_ahead)
    there = lagging.group_of(key)
    if there != CONTROL_GROUP:  # the own log decides with its own, full knowledge
        assert there == up_to_date.group_of(key)
