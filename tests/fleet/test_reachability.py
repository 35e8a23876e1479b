from finchshed.fleet.link_conditions import Peer
from finchshed.fleet.reachability import reaching, serving_group

CONTROL = [Peer("control-1", "north"), Peer("control-2", "south"), Peer("control-3", "east")]
DAEMONS = [Peer("a-daemon", "north"), Peer("b-daemon", "south"), Peer("c-daemon", "west")]


def without(*cut: set[str]):  # type: ignore[no-untyped-def]
    def connected(one: Peer, other: Peer) -> bool:
        return not any({one.zone, other.zone} == pair for pair in cut)

    return connected


def test_all_reach_a_whole_group() -> None:
    assert reaching(DAEMONS, CONTROL, 3, without()) == {peer.name for peer in DAEMONS}


def test_zone_cut_from_the_others_does_not_reach_a_majority() -> None:
    cut = without({"north", "south"}, {"north", "east"}, {"north", "west"})
    assert reaching(DAEMONS, CONTROL, 3, cut) == {"b-daemon", "c-daemon"}


def test_daemon_that_reaches_only_the_lonely_node_does_not_count() -> None:
    cut = without({"north", "south"}, {"north", "east"}, {"west", "south"}, {"west", "east"})
    assert "c-daemon" not in reaching(DAEMONS, CONTROL, 3, cut)


def test_two_of_three_nodes_gone_leave_no_group() -> None:
    assert serving_group(CONTROL[:1], 3, without()) == []
    assert serving_group(CONTROL[:2], 3, without()) == CONTROL[:2]
