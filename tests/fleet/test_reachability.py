from finchshed.fleet.link_conditions import Peer
from finchshed.fleet.reachability import daemons_reaching_control, nodes_in_majority

CONTROL = [Peer("control-1", "north"), Peer("control-2", "south"), Peer("control-3", "east")]
DAEMONS = [Peer("a-daemon", "north"), Peer("b-daemon", "south"), Peer("c-daemon", "west")]


def connected_without(*cut_pairs: set[str]):  # type: ignore[no-untyped-def]
    def connected(one: Peer, other: Peer) -> bool:
        return not any({one.zone, other.zone} == pair for pair in cut_pairs)

    return connected


def test_all_daemons_reach_an_intact_group() -> None:
    assert daemons_reaching_control(DAEMONS, CONTROL, 3, connected_without()) == {
        peer.name for peer in DAEMONS
    }


def test_isolated_zone_does_not_reach_a_majority() -> None:
    cut = connected_without({"north", "south"}, {"north", "east"}, {"north", "west"})
    assert daemons_reaching_control(DAEMONS, CONTROL, 3, cut) == {"b-daemon", "c-daemon"}


def test_daemon_that_reaches_only_an_isolated_node_is_excluded() -> None:
    cut = connected_without(
        {"north", "south"}, {"north", "east"}, {"west", "south"}, {"west", "east"}
    )
    assert "c-daemon" not in daemons_reaching_control(DAEMONS, CONTROL, 3, cut)


def test_one_of_three_nodes_is_no_majority() -> None:
    assert nodes_in_majority(CONTROL[:1], 3, connected_without()) == []
    assert nodes_in_majority(CONTROL[:2], 3, connected_without()) == CONTROL[:2]
