"""Derives hints for daemons from the platform's list of machines. Pure.

The list lags and may be wrong, so a machine missing from it is not considered gone. A machine
listed as leaving becomes a hint with the time for which it has been listed, so that daemons don't
apply the hint to a machine that has since replaced it at the same address.
"""

import enum
from collections.abc import Iterable

import msgspec

from finchshed.configuration.resources import Endpoint
from finchshed.distribution.messages import Hints, LeavingHint


class ListedState(enum.StrEnum):
    """State of a machine in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """Machine in the list. ``incarnation`` tells apart machines at the same address."""

    name: str
    address: str
    incarnation: str
    state: ListedState


class DecodedList(msgspec.Struct, frozen=True):
    """The machines of a list, and the number of entries that can't be read."""

    instances: tuple[ListedInstance, ...]
    unreadable: int = 0


_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_entry_decoder = msgspec.json.Decoder(ListedInstance)


def decode_instances(data: bytes) -> DecodedList:
    """Decode the list; an entry that can't be read or has an unknown state names no machine.

    Raises msgspec.DecodeError if ``data`` isn't a list.
    """
    instances = []
    unreadable = 0
    for entry in _decoder.decode(data):
        try:
            instances.append(_entry_decoder.decode(entry))
        except msgspec.DecodeError:
            unreadable += 1
    return DecodedList(tuple(instances), unreadable)


class PlatformList:
    """Tracks since when each machine has been listed as leaving.

    Parameters
    ----------
    lag_seconds
        Maximum lag of the list.
    """

    def __init__(self, lag_seconds: float) -> None:
        self._lag = lag_seconds
        self._leaving_since: dict[tuple[str, str], float] = {}

    def update(self, instances: Iterable[ListedInstance], now: float) -> bool:
        """Replace the list; return whether the set of leaving machines changed."""
        leaving = {
            (instance.address, instance.incarnation)
            for instance in instances
            if instance.state is ListedState.LEAVING
        }
        changed = leaving != self._leaving_since.keys()
        self._leaving_since = {key: self._leaving_since.get(key, now) for key in leaving}
        return changed

    def hints(self, endpoints: Iterable[Endpoint], now: float) -> Hints:
        """Return the hints for those of ``endpoints`` whose machines are listed as leaving."""
        since = {address: at for (address, _), at in self._leaving_since.items()}
        leaving = tuple(
            LeavingHint(endpoint.name, round(now - since[endpoint.address], 3))
            for endpoint in endpoints
            if endpoint.address in since
        )
        return Hints(leaving, self._lag)
