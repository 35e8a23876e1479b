from finchshed.bench.control_placement import (
    LAYOUTS,
    MACHINES,
    after_replacement,
    goes_on,
    may_lose,
    outcomes,
)

SIX, FIVE, THREE, _ = LAYOUTS


def test_a_majority_has_to_be_left_and_to_be_lost() -> None:
    assert goes_on(FIVE.voters, frozenset({"a1", "b1"}))
    assert not goes_on(FIVE.voters, frozenset({"a1", "a2", "b1"}))
    assert may_lose(FIVE.voters, frozenset({"a1", "a2", "b1"}))
    assert not may_lose(SIX.voters, frozenset({"a1", "a2", "b1"}))
    assert not goes_on(SIX.voters, frozenset({"a1", "a2", "b1"}))


def test_standbys_that_are_left_take_places_of_lost_voters() -> None:
    lost = frozenset({"a1", "c2"})
    assert after_replacement(FIVE.voters, MACHINES, lost) == set(FIVE.voters)
    lost = frozenset({"a1", "a2"})
    assert after_replacement(FIVE.voters, MACHINES, lost) == {"a2", "b1", "b2", "c1", "c2"}
    assert len(after_replacement(THREE.voters, MACHINES, lost)) == 3


def test_five_voters_and_a_standby_go_on_after_any_region_and_then_any_machine() -> None:
    found = {outcome.kind: outcome for outcome in outcomes(FIVE)}
    for kind in ("two machines at once", "a region", "a region, then a machine"):
        assert found[kind].go_on == found[kind].cases
        assert found[kind].may_lose == 0
    six = {outcome.kind: outcome for outcome in outcomes(SIX)}
    assert six["a region, then a machine"].go_on == 0
    three = {outcome.kind: outcome for outcome in outcomes(THREE)}
    assert three["two machines at once"].go_on < three["two machines at once"].cases
