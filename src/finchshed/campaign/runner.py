"""Runs the seeds of a scenario, checks their histories and shrinks failing plans.

Runs are deterministic: a seed always produces the same history.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec

from finchshed.campaign.scenarios import Plan, plan_of
from finchshed.emulator import world
from finchshed.emulator.collector import tune_collector
from finchshed.proof.checks import violations_of
from finchshed.proof.checks.index import Violation
from finchshed.proof.coverage import coverage_of
from finchshed.proof.history_file import History

VIOLATIONS_KEPT = 20
"""Maximum number of violations stored per seed."""


class SeedResult(msgspec.Struct):
    """Result of running and checking one seed.

    Attributes
    ----------
    kept
        Positions of the disturbances left after shrinking, or None if not shrunk.
    error
        Type and message of the exception that ended the run, or empty.
    """

    scenario: str
    seed: int
    deployment: str
    digest: str = ""
    roots: int = 0
    processor_seconds: float = 0.0
    coverage: dict[str, int] = {}
    violations: list[Violation] = []
    disturbances: list[str] = []
    kept: list[int] | None = None
    error: str = ""

    @property
    def failed(self) -> bool:
        """Whether a check found a violation or the run raised an exception."""
        return bool(self.violations or self.error)

    def broken_checks(self) -> Counter[str]:
        """Return the number of violations per check; an exception counts as ``process``."""
        if self.error:
            return Counter({"process": 1})
        return Counter(violation.check for violation in self.violations)


def run_plan(plan: Plan) -> tuple[SeedResult, History | None]:
    """Run a plan and check its history, which is None if the run raised an exception."""
    result = SeedResult(plan.scenario, plan.seed, plan.deployment.name)
    result.disturbances = [repr(item) for item in plan.disturbances]
    try:
        run = world.run(plan.specification())
    except Exception as error:
        result.error = f"{type(error).__name__}: {error}"
        return result, None
    result.digest = run.history.digest()
    result.roots = run.roots
    result.processor_seconds = run.processor_seconds
    result.coverage = dict(coverage_of(run.history.events))
    result.violations = violations_of(run.history)[:VIOLATIONS_KEPT]
    return result, run.history


def run_seed(scenario: str, seed: int, shrink: bool = True) -> SeedResult:
    """Run one seed; if it fails, shrink its faults to a smaller set that fails the same check."""
    tune_collector()
    plan = plan_of(scenario, seed)
    result, _ = run_plan(plan)
    if shrink and result.failed:
        result.kept = shrink_disturbances(plan, result)
    return result


def shrink_disturbances(plan: Plan, result: SeedResult) -> list[int]:
    """Return positions of a locally minimal set of disturbances that fails the same check.

    Removes disturbances one at a time until none can be removed.
    """
    failed_check = next(iter(result.broken_checks()))
    kept = list(range(len(plan.disturbances)))
    removed_any = True
    while removed_any:
        removed_any = False
        for position in list(kept):
            candidate = [other for other in kept if other != position]
            trial, _ = run_plan(plan.only(tuple(candidate)))
            if failed_check in trial.broken_checks():
                kept = candidate
                removed_any = True
    return kept


def run_campaign(
    scenario: str, seeds: Sequence[int], workers: int, shrink: bool = True
) -> Iterator[SeedResult]:
    """Yield the result of each seed in the order of ``seeds``."""
    if workers <= 1:
        for seed in seeds:
            yield run_seed(scenario, seed, shrink)
        return
    with ProcessPoolExecutor(workers) as pool:
        count = len(seeds)
        yield from pool.map(run_seed, [scenario] * count, seeds, [shrink] * count, chunksize=4)


def repeat_command(result: SeedResult) -> str:
    """Return the command that reproduces a failing seed with its shrunk faults."""
    command = f"finchshed prove --scenario={result.scenario} --seeds={result.seed}"
    if result.kept is not None:
        command += f" --only={','.join(map(str, result.kept)) or 'none'}"
    return command


class ScenarioSummary(msgspec.Struct):
    """Totals over the seeds of one scenario."""

    scenario: str
    seeds: int = 0
    failed: list[int] = []
    roots: int = 0
    processor_seconds: float = 0.0
    coverage: dict[str, int] = {}
    broken: dict[str, int] = {}

    def add(self, result: SeedResult) -> None:
        """Add the result of one seed."""
        self.seeds += 1
        self.roots += result.roots
        self.processor_seconds += result.processor_seconds
        self.coverage = dict(Counter(self.coverage) + Counter(result.coverage))
        if result.failed:
            self.failed.append(result.seed)
            self.broken = dict(
                Counter(self.broken) + Counter(dict.fromkeys(result.broken_checks(), 1))
            )


def summary_lines(summaries: Iterable[ScenarioSummary]) -> list[str]:
    """Return the summaries as lines of a text table."""
    lines = [f"{'scenario':<18}{'seeds':>7}{'failed':>8}{'requests':>10}{'cpu s':>9}  broken"]
    for summary in summaries:
        broken = ", ".join(f"{name} {count}" for name, count in summary.broken.items())
        lines.append(
            f"{summary.scenario:<18}{summary.seeds:>7}{len(summary.failed):>8}"
            f"{summary.roots:>10}{summary.processor_seconds:>9.1f}  {broken or '-'}"
        )
    return lines
