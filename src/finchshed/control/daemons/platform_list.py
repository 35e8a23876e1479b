"""What the platform's list of machines says, and what may be made of it. Pure.

The list lags, and may be wrong. A machine that is missing from it is not taken for gone. A machine
it lists as leaving is passed on to daemons as a hint, with the time since when it is listed, so
that a machine that has meanwhile been replaced at the same address isn't taken for the old one.
"""

import enum
from collections.abc import Iterable

import msgspec

from finchshed.configuration.resources import Endpoint
from finchshed.distribution.messages import Hints, LeavingHint


class ListedState(enum.StrEnum):
    """What the platform says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """One machine of the list. Another machine at the same address has another incarnation."""

    name: str
    address: str
    incarnation: str
    state: ListedState


_decoder = msgspec.json.Decoder(tuple[ListedInstance, ...])


def decode_instances(data: bytes) -> tuple[ListedInstance, ...]:
    """Return the list in ``data``; raises msgspec.DecodeError when it holds none."""
    return _decoder.decode(data)


class PlatformList:
    """Remembers since when each machine is listed as leaving.

    Parameters
    ----------
    lag_seconds
        How far the list lags at most.
    """

    def __init__(self, lag_seconds: float) -> None:
        self._lag = lag_seconds
        self._leaving_since: dict[tuple[str, str], float] = {}

    def update(self, instances: Iterable[ListedInstance], now: float) -> bool:
        """Take a new list; return whether the machines listed as leaving changed."""
        leaving = {
            (instance.address, instance.incarnation)
            for instance in instances
            if instance.state is ListedState.LEAVING
        }
        changed = leaving != self._leaving_since.keys()
        self._leaving_since = {key: self._leaving_since.get(key, now) for key in leaving}
        return changed

    def hints(self, endpoints: Iterable[Endpoint], now: float) -> Hints:
        """Return the hints for ``endpoints``, matched by address."""
        since = {address: at for (address, _), at in self._leaving_since.items()}
        leaving = tuple(
            LeavingHint(endpoint.name, round(now - since[endpoint.address], 3))
            for endpoint in endpoints
            if endpoint.address in since
        )
        return Hints(leaving, self._lag)
