"""``finchshed replay`` and ``finchshed record``."""

from pathlib import Path

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import SettingsError
from finchshed.emulator.presets import PRESETS
from finchshed.proof import history as histories
from finchshed.proof.checks import violations_of
from finchshed.proof.command import parse_seeds
from finchshed.proof.history import History
from finchshed.proof.scenarios import SCENARIOS, plan_of
from finchshed.replay import emulated
from finchshed.replay.judge import judge
from finchshed.replay.lines import unknown
from finchshed.replay.outcomes import read_outcomes
from finchshed.replay.recording import outcomes_of, trace_of_history, trace_of_plan
from finchshed.replay.trace import Trace, read_trace

PROBLEMS_SHOWN = 5


def replay(trace: str, expect: str = "", *, history: str = "") -> int:
    """Replay a trace in simulated time and judge it against stated outcomes.

    Exit code 1 if a statement didn't hold. Without outcomes only the properties that must always
    hold are judged.

    Parameters
    ----------
    trace
        File of the trace.
    expect
        File of the stated outcomes.
    history
        File that gets the history of the replay.
    """
    loaded = read_trace(Path(trace))
    outcomes = read_outcomes(Path(expect), loaded) if expect else None
    recorded = emulated.play(loaded)
    if history:
        recorded.write(Path(history))
    print(f"{loaded.header.name}: {len(recorded.events)} events, history {recorded.digest()}")
    if outcomes is None:
        return _judge_properties(recorded)
    failed = 0
    for verdict in judge(recorded, outcomes):
        failed += bool(verdict.problems)
        word = "FAILED" if verdict.problems else "held  "
        print(f"{word} {expect}:{verdict.line}: {verdict.statement}")
        for problem in verdict.problems[:PROBLEMS_SHOWN]:
            print(f"       {problem}")
    print(f"{len(outcomes.statements) - failed} of {len(outcomes.statements)} statements held")
    return ExitCode.FAILED if failed else ExitCode.OK


def record(
    out: str,
    scenario: str = "",
    seed: int = 1,
    *,
    history: str = "",
    deployment: str = "",
    outcomes: str = "",
) -> int:
    """Record a trace: of a campaign's seed, or of a history that was written before.

    Parameters
    ----------
    out
        File that gets the trace.
    scenario, seed
        Scenario and seed of ``finchshed prove``.
    history
        File of a history, in place of a scenario.
    deployment
        Name of the deployment of the history.
    outcomes
        File that gets outcomes which the recorded run reached.
    """
    if bool(scenario) == bool(history):
        raise SettingsError(["flags --scenario and --history: give one of them"])
    made = _of_scenario(scenario, seed) if scenario else _of_history(history, deployment)
    made.write(Path(out))
    print(f"{out}: {len(made.arrivals)} arrivals, {len(made.acts)} acts")
    if outcomes:
        Path(outcomes).write_bytes(b"".join(outcomes_of(made, emulated.play(made))))
    return ExitCode.OK


def _judge_properties(recorded: History) -> int:
    violations = violations_of(recorded)
    for violation in violations[:PROBLEMS_SHOWN]:
        print(f"FAILED {violation}")
    print("every property held" if not violations else f"{len(violations)} violations")
    return ExitCode.FAILED if violations else ExitCode.OK


def _of_scenario(scenario: str, seed: int) -> Trace:
    if scenario not in SCENARIOS:
        raise SettingsError([unknown("flag --scenario", scenario, list(SCENARIOS))])
    return trace_of_plan(plan_of(scenario, parse_seeds(str(seed))[0]))


def _of_history(history: str, deployment: str) -> Trace:
    if deployment not in PRESETS:
        raise SettingsError([unknown("flag --deployment", deployment, list(PRESETS))])
    recorded = histories.read(Path(history))
    made, left_out = trace_of_history(recorded, Path(history).stem, PRESETS[deployment])
    if left_out:
        print(f"{left_out} faults of the history are left out: it doesn't hold them whole")
    return made
