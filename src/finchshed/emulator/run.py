"""Specification and result of a run of the emulator."""

import msgspec

from finchshed.emulator.acts import Act
from finchshed.emulator.callers import Arrival, ClientPolicy, Surge
from finchshed.emulator.deployment import Deployment
from finchshed.proof.history_file import History


class RunSpecification(msgspec.Struct, frozen=True, kw_only=True):
    """Specification of one run.

    Attributes
    ----------
    begin_seconds, seconds
        Times of the first and the last arrival. An emulated control group needs about two seconds
        to form.
    arrivals
        Arrivals from a trace, or None to generate them from the seed.
    settle_seconds
        Time that the run continues after the last arrival, so that requests in flight finish.
    control_nodes
        Number of emulated control nodes. With 0, a simplified control plane configures the
        daemons at the start.
    """

    deployment: Deployment
    seed: int = 0
    begin_seconds: float = 0.0
    seconds: float = 10.0
    settle_seconds: float = 3.0
    surges: tuple[Surge, ...] = ()
    acts: tuple[Act, ...] = ()
    client: ClientPolicy = ClientPolicy()
    arrivals: tuple[Arrival, ...] | None = None
    scenario: str = "emulate"
    control_nodes: int = 0
    retry_budget: int = 3


class FinishedRun(msgspec.Struct):
    """Result of a run.

    ``processor_seconds`` is the processor time that the emulator itself used.
    """

    history: History
    roots: int
    messages: int
    processor_seconds: float
