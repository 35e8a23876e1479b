"""Requests and the path they take, as the emulator's parts hand them to each other."""

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
    """A request as a caller hands it to its daemon.

    Attributes
    ----------
    call
        The caller's name for this call, unique in the run.
    deadline
        Simulated time after which the caller has no use for the answer.
    account
        The account header the caller was given with the request it serves, or empty.
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
    """What a caller sends through, as a back end or an outside caller sees a daemon."""

    def call(self, request: SimulatedRequest, done: Done) -> Cancel:
        """Send ``request``; ``done`` is called once. The result cancels the call."""
        ...
