"""``finchshed prove``: runs scenarios over a range of seeds and prints violated properties."""

import sys
import time
from pathlib import Path

import msgspec

from finchshed import __version__
from finchshed.campaign.runner import (
    ScenarioSummary,
    SeedResult,
    repeat_command,
    run_campaign,
    run_plan,
    summary_lines,
)
from finchshed.campaign.scenarios import SCENARIOS, plan_of
from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import SettingsError

ALL = "all"
DEFAULT_SEEDS = "1..20"
PROGRESS_SECONDS = 2.0
"""Minimum seconds between updates of the progress line."""


def prove(
    scenario: str = ALL,
    seeds: str = DEFAULT_SEEDS,
    workers: int = 2,
    *,
    only: str = "",
    out: str = "",
    history: str = "",
) -> int:
    """Run scenarios with random faults and check every stated property.

    Exit code 1 if a seed broke a property; its shrunk faults and the command that repeats it
    are printed.

    Parameters
    ----------
    scenario
        Name of a scenario, several with commas between them, or ``all``.
    seeds
        One seed, or ``A..B`` with both ends.
    workers
        Processes to run in.
    only
        Positions of the faults to keep, with commas, or ``none``; for one seed.
    out
        File that gets one JSON line a seed.
    history
        File that gets the history of the run; for one seed.
    """
    names = list(SCENARIOS) if scenario == ALL else _parse_scenario_names(scenario)
    seed_numbers = parse_seeds(str(seeds))
    if only or history:
        return _run_single_seed(names, seed_numbers, str(only), history)
    summaries = [_run_scenario(name, seed_numbers, workers, out) for name in names]
    print(f"finchshed {__version__}")
    print("\n".join(summary_lines(summaries)))
    return ExitCode.FAILED if any(summary.failed for summary in summaries) else ExitCode.OK


def _run_scenario(name: str, seeds: list[int], workers: int, out: str) -> ScenarioSummary:
    summary = ScenarioSummary(name)
    progress = _Progress(name, len(seeds))
    for result in run_campaign(name, seeds, workers):
        summary.add(result)
        progress.show(summary)
        if result.failed:
            print("\n".join(report_lines(result)), flush=True)
        if out:
            with Path(out).open("ab") as file:
                file.write(msgspec.json.encode(result) + b"\n")
    return summary


def parse_seeds(text: str) -> list[int]:
    """Parse one seed (``7``) or an inclusive range (``1..100``).

    Raises
    ------
    SettingsError
        If ``text`` is neither, or the range is empty.
    """
    first, separator, last = text.partition("..")
    try:
        begin = int(first)
        end = int(last) if separator else begin
    except ValueError:
        begin, end = 0, -1
    if begin < 0 or end < begin:
        raise SettingsError([f"flag --seeds = {text!r}: allowed is a number or A..B"])
    return list(range(begin, end + 1))


def report_lines(result: SeedResult) -> list[str]:
    """Return a report of a failed seed: violations, faults, and the command that reproduces it."""
    lines = [f"{result.scenario} seed {result.seed} ({result.deployment}): FAILED"]
    lines += [f"  {result.error}"] if result.error else []
    lines += [f"  {violation}" for violation in result.violations[:5]]
    if len(result.violations) > 5:
        lines.append(f"  and {len(result.violations) - 5} or more besides")
    kept = range(len(result.disturbances)) if result.kept is None else result.kept
    lines += [f"  fault {position}: {result.disturbances[position]}" for position in kept]
    lines.append(f"  repeat: {repeat_command(result)}")
    return lines


def _parse_scenario_names(scenario: str) -> list[str]:
    names = scenario.split(",")
    unknown = [name for name in names if name not in SCENARIOS]
    if unknown:
        allowed = ", ".join([*SCENARIOS, ALL])
        raise SettingsError([f"flag --scenario = {unknown[0]!r}: allowed are {allowed}"])
    return names


def _run_single_seed(names: list[str], seeds: list[int], only: str, history: str) -> int:
    if len(names) != 1 or len(seeds) != 1:
        raise SettingsError(["flags --only and --history need one scenario and one seed"])
    plan = plan_of(names[0], seeds[0])
    positions = _parse_positions(only, len(plan.disturbances)) if only else None
    result, recorded = run_plan(plan if positions is None else plan.only(positions))
    if positions is not None:
        result.kept = list(positions)
        result.disturbances = [repr(item) for item in plan.disturbances]
    if history and recorded is not None:
        recorded.write(Path(history))
    if result.failed:
        print("\n".join(report_lines(result)))
        return ExitCode.FAILED
    print(f"{names[0]} seed {seeds[0]}: every property held; history {result.digest}")
    return ExitCode.OK


def _parse_positions(only: str, count: int) -> tuple[int, ...]:
    if only == "none":
        return ()
    try:
        positions = tuple(int(part) for part in only.strip("()").split(",") if part.strip())
    except ValueError:
        positions = (-1,)
    if any(position not in range(count) for position in positions):
        raise SettingsError([f"flag --only = {only!r}: allowed are 0 to {count - 1}, or none"])
    return positions


class _Progress:
    """Progress line on standard error, printed only if it is a terminal."""

    def __init__(self, name: str, total: int) -> None:
        self._name = name
        self._total = total
        self._last_shown_at = 0.0

    def show(self, summary: ScenarioSummary) -> None:
        """Print the progress, at most once per ``PROGRESS_SECONDS``."""
        now = time.monotonic()
        if not sys.stderr.isatty() or now - self._last_shown_at < PROGRESS_SECONDS:
            return
        self._last_shown_at = now
        line = f"\r{self._name}: {summary.seeds}/{self._total}, failed {len(summary.failed)}"
        print(line, end="", file=sys.stderr, flush=True)
