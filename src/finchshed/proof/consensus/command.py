"""``finchshed prove-consensus``: the replicated log under failure, over many seeds."""

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import SettingsError
from finchshed.proof.consensus.campaign import ConsensusSummary, run_campaign
from finchshed.proof.consensus.scenarios import SCENARIOS

DEFAULT_SEEDS = "0..99"
DEFAULT_WORKERS = 2
"""Number of worker processes."""

_MOST_FAILURES_SHOWN = 10
"""Failures printed of one scenario."""


def prove_consensus(
    seeds: str = DEFAULT_SEEDS, scenario: str = "", workers: int = DEFAULT_WORKERS
) -> int:
    """Run the scenarios; exit 1 and name the failing seeds if any property was broken.

    Parameters
    ----------
    seeds
        First and last seed, as ``A..B``, or one seed.
    scenario
        Names joined by commas; empty: all.
    workers
        Processes to run in.
    """
    chosen = [name for name in str(scenario).split(",") if name] or list(SCENARIOS)
    unknown = [name for name in chosen if name not in SCENARIOS]
    if unknown:
        known = ", ".join(SCENARIOS)
        raise SettingsError([f"no such scenario: {', '.join(unknown)}; there are {known}"])
    failed = False
    for summary in run_campaign(chosen, _range_of(str(seeds)), workers):
        print("\n".join(_lines_of(summary)), flush=True)
        failed = failed or bool(summary.failures)
    return ExitCode.FAILED if failed else ExitCode.OK


def _range_of(text: str) -> range:
    first, _, last = text.partition("..")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise SettingsError([f"seeds must be A..B, not {text}"]) from error
    if not seeds:
        raise SettingsError([f"no seeds in {text}"])
    return seeds


def _lines_of(summary: ConsensusSummary) -> list[str]:
    counts = ", ".join(f"{name} {count}" for name, count in sorted(summary.counts.items()))
    lines = [
        f"{summary.scenario}: {summary.seeds} seeds, {len(summary.failures)} failed, "
        f"{summary.operations} operations, {summary.accepted} accepted, recovery "
        f"p50 {summary.recovery_at(0.5):.2f} s, worst {summary.recovery_at(1.0):.2f} s; {counts}"
    ]
    for verdict in summary.failures[:_MOST_FAILURES_SHOWN]:
        lines.append(f"  seed {verdict.seed}: {'; '.join(verdict.violations)}")
        lines.append(
            f"  again: finchshed prove-consensus --scenario={verdict.scenario} "
            f"--seeds={verdict.seed}"
        )
    return lines
