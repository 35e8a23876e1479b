"""What a run of the emulator is given, and what comes of it."""

import msgspec

from finchshed.emulator.acts import Act
from finchshed.emulator.callers import Arrival, ClientPolicy, Surge
from finchshed.emulator.deployment import Deployment
from finchshed.proof.history_file import History


class RunSpecification(msgspec.Struct, frozen=True, kw_only=True):
    """One run: a deployment, a seed, demand and faults.

    Attributes
    ----------
    begin_seconds, seconds
        Times of the first and the last arrival; an emulated control group takes some two seconds
        to form.
    arrivals
        Arrivals from a trace; None draws them from the seed.
    settle_seconds
        Time the run goes on after the last arrival, so that what is in flight ends.
    control_nodes
        Number of emulated control nodes; 0 leaves the control plane out, and daemons hold the
        configuration from the start.
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
    """A finished run.

    ``processor_seconds`` is what the emulator itself took.
    """

    history: History
    roots: int
    messages: int
    processor_seconds: float
