"""``finchshed replay`` and ``finchshed record``."""

from pathlib import Path

from finchshed.campaign.command import parse_seeds
from finchshed.campaign.scenarios import SCENARIOS, plan_of
from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import SettingsError
from finchshed.emulator.presets import PRESETS
from finchshed.proof import history_file as histories
from finchshed.proof.checks import violations_of
from finchshed.proof.history_file import History
from finchshed.replay import emulated
from finchshed.replay.lines import unknown_name_message
from finchshed.replay.outcome_checks import check_outcomes
from finchshed.replay.outcomes import read_outcomes
from finchshed.replay.recording import outcomes_of, trace_of_history, trace_of_plan
from finchshed.replay.trace import Trace, read_trace

PROBLEMS_SHOWN = 5
"""Problems printed for each failed statement."""


def replay(trace: str, expect: str = "", *, history: str = "") -> int:
    """Replay a trace in simulated time and check it against expected outcomes.

    The exit code is 1 if a statement doesn't hold. Without a file of outcomes only the invariants
    are checked.

    Parameters
    ----------
    trace
        Path of the trace.
    expect
        Path of the expected outcomes.
    history
        Path to which the history of the replay is written.
    """
    loaded = read_trace(Path(trace))
    outcomes = read_outcomes(Path(expect), loaded) if expect else None
    recorded = emulated.play(loaded)
    if history:
        recorded.write(Path(history))
    print(f"{loaded.header.name}: {len(recorded.events)} events, history {recorded.digest()}")
    if outcomes is None:
        return _check_properties(recorded)
    failed = 0
    for verdict in check_outcomes(recorded, outcomes):
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
    """Write a trace of a campaign scenario or of an existing history.

    Parameters
    ----------
    out
        Path to which the trace is written.
    scenario, seed
        Scenario and seed of ``finchshed prove``.
    history
        Path of a history, instead of a scenario.
    deployment
        Name of the deployment that the history was recorded on.
    outcomes
        Path to which the outcomes of the recorded run are written.
    """
    if bool(scenario) == bool(history):
        raise SettingsError(["flags --scenario and --history: give one of them"])
    made = (
        _trace_of_scenario(scenario, seed)
        if scenario
        else _trace_of_recorded_history(history, deployment)
    )
    made.write(Path(out))
    print(f"{out}: {len(made.arrivals)} arrivals, {len(made.acts)} acts")
    if outcomes:
        Path(outcomes).write_bytes(b"".join(outcomes_of(made, emulated.play(made))))
    return ExitCode.OK


def _check_properties(recorded: History) -> int:
    violations = violations_of(recorded)
    for violation in violations[:PROBLEMS_SHOWN]:
        print(f"FAILED {violation}")
    print("every property held" if not violations else f"{len(violations)} violations")
    return ExitCode.FAILED if violations else ExitCode.OK


def _trace_of_scenario(scenario: str, seed: int) -> Trace:
    if scenario not in SCENARIOS:
        raise SettingsError([unknown_name_message("flag --scenario", scenario, list(SCENARIOS))])
    return trace_of_plan(plan_of(scenario, parse_seeds(str(seed))[0]))


def _trace_of_recorded_history(history: str, deployment: str) -> Trace:
    if deployment not in PRESETS:
        raise SettingsError([unknown_name_message("flag --deployment", deployment, list(PRESETS))])
    recorded = histories.read(Path(history))
    made, left_out = trace_of_history(recorded, Path(history).stem, PRESETS[deployment])
    if left_out:
        print(f"{left_out} faults of the history are left out: it doesn't hold them whole")
    return made
