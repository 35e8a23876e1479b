import pytest

from finchshed.link.networks import PeerNetworks


@pytest.mark.parametrize(
    ("address", "allowed"),
    [
        ("10.1.2.3:7100", True),
        ("127.0.0.1:1", True),
        ("127.0.1.1:1", False),
        ("11.0.0.1:7100", False),
        ("10.1.2.3", False),
        ("", False),
        ("nonsense:1", False),
    ],
)
def test_only_addresses_of_the_networks_are_allowed(address: str, allowed: bool) -> None:
    assert PeerNetworks(["10.9.9.9/8", "127.0.0.0/24"]).allow(address) is allowed


def test_an_empty_list_allows_no_peer() -> None:
    assert not PeerNetworks([]).allow("127.0.0.1:1")
