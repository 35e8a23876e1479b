"""``finchshed emulate``: one run in simulated time."""

from pathlib import Path

import msgspec

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import SettingsError
from finchshed.emulator import world
from finchshed.emulator.acts import SlowService
from finchshed.emulator.callers import Surge
from finchshed.emulator.collector import tune_collector
from finchshed.emulator.deployment import Deployment
from finchshed.emulator.presets import PRESETS
from finchshed.emulator.run import CONTROLS, FinishedRun, RunSpecification
from finchshed.proof.checks import violations_of
from finchshed.proof.coverage import coverage_of

FORMING_SECONDS = 2.5
"""Time given to an emulated control group to form."""

SURGE_SHARE = 1 / 3
"""Part of the run that a surge takes, in its middle."""

VIOLATIONS_SHOWN = 10


def emulate(
    deployment: str = "brazos-ridge",
    control: str = "finchshed",
    seed: int = 1,
    *,
    seconds: float = 10.0,
    demand: float = 1.0,
    slow: float = 1.0,
    control_nodes: int = 3,
    scale: int = 1,
    history: str = "",
) -> int:
    """Run a deployment once in simulated time, and judge it.

    In the middle third of the run demand is DEMAND times the ordinary and the deepest service takes
    SLOW times as long. Exit code 1 if a property that must always hold was broken; baselines are
    not judged.

    Parameters
    ----------
    deployment
        Name of a deployment that ships with finchshed.
    control
        ``finchshed``, or a baseline: ``none``, ``fixed-retries``, ``static-limit``.
    seed
        One seed gives one history.
    seconds
        Length of the run.
    demand, slow
        Factors of the surge.
    control_nodes
        Control nodes to emulate; 0 emulates a control plane that never fails.
    scale
        How many times as many back ends, and as much demand, the deployment has.
    history
        File that gets the history.
    """
    _check("deployment", deployment, list(PRESETS))
    _check("control", control, list(CONTROLS))
    tune_collector()
    nodes = control_nodes if control == "finchshed" else 0
    begin = FORMING_SECONDS if nodes else 0.0
    surge_begin = begin + seconds * SURGE_SHARE
    surge_seconds = seconds * SURGE_SHARE
    model = scaled_out(PRESETS[deployment], scale)
    slowed = SlowService(
        time=surge_begin, service=model.deep_service, factor=slow, seconds=surge_seconds
    )
    specification = RunSpecification(
        deployment=model,
        control=control,
        seed=seed,
        begin_seconds=begin,
        seconds=begin + seconds,
        surges=(Surge(start=surge_begin, seconds=surge_seconds, factor=demand),),
        acts=() if slow == 1.0 else (slowed,),
        control_nodes=nodes,
    )
    result = world.run(specification)
    if history:
        result.history.write(Path(history))
    print("\n".join(_lines(result)))
    if control != "finchshed":
        return ExitCode.OK
    violations = violations_of(result.history)
    for violation in violations[:VIOLATIONS_SHOWN]:
        print(f"FAILED {violation}")
    print("every property held" if not violations else f"{len(violations)} violations")
    return ExitCode.FAILED if violations else ExitCode.OK


def scaled_out(deployment: Deployment, scale: int) -> Deployment:
    """Return ``deployment`` with ``scale`` times as many back ends and as much demand."""
    services = tuple(
        msgspec.structs.replace(service, back_ends=service.back_ends * scale)
        for service in deployment.services
    )
    return msgspec.structs.replace(
        deployment,
        services=services,
        arrivals_per_second=deployment.arrivals_per_second * scale,
    )


def _lines(result: FinishedRun) -> list[str]:
    coverage = coverage_of(result.history.events)
    lines = [f"history {result.history.digest()}, {len(result.history.events)} events"]
    lines += [f"{name}: {count}" for name, count in sorted(coverage.items())]
    seconds = result.processor_seconds
    calls = coverage["outside calls"] + coverage["calls on"]
    lines.append(
        f"{result.roots} root requests, {calls} calls, {result.messages} messages "
        f"in {seconds:.2f} s of processor time"
    )
    lines.append(
        f"per second of processor time: {result.roots / seconds:.0f} root requests, "
        f"{calls / seconds:.0f} calls, {result.messages / seconds:.0f} messages"
    )
    return lines


def _check(flag: str, value: str, allowed: list[str]) -> None:
    if value not in allowed:
        raise SettingsError([f"flag --{flag} = {value!r}: allowed are {', '.join(allowed)}"])
