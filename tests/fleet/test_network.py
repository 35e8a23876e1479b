import socket

from finchshed.fleet.network import FleetNetwork, Port


def test_each_fleet_gets_its_own_network() -> None:
    first, second = FleetNetwork(), FleetNetwork()
    try:
        assert first.prefix != second.prefix
        address = first.address("127.1.3.4", Port.LINK)
        assert address == f"{first.prefix}3.4:7100"
        assert first.relocate('address = "127.1.3.4:7100"') == f'address = "{address}"'
    finally:
        first.release()
        second.release()


def test_released_network_can_be_reserved_again() -> None:
    first = FleetNetwork()
    prefix = first.prefix
    first.release()
    with socket.socket() as probe:
        probe.bind((prefix + "255.254", 7000))
