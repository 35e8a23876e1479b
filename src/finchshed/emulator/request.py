"""Requests of the emulator and the interface that sends them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from finchshed.common.importance import Importance
from finchshed.common.outcomes import Outcome
from finchshed.emulator.deployment import Hop

Done: TypeAlias = Callable[[Outcome], None]
Cancel: TypeAlias = Callable[[], None]


@dataclass(slots=True)
class SimulatedRequest:
    """A request that a caller sends to its daemon.

    Attributes
    ----------
    call
        The caller's identifier of this call, unique in the run.
    deadline
        Simulated time after which the caller no longer waits for the answer.
    account
        Account header of the request that the caller is serving, or empty.
    """

    call: str
    root: str
    hop: Hop
    kind: str
    importance: Importance
    deadline: float
    caller: str = ""
    parent: str = ""
    key: str = ""
    session: str = ""
    account: str = ""
    repeatable: bool = True


class Path(Protocol):
    """Interface of a daemon to its back end and to external callers."""

    def call(self, request: SimulatedRequest, done: Done) -> Cancel:
        """Send ``request`` and call ``done`` once; returns a function that cancels the call."""
        ...
