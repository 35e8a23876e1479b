"""Runs seeds of a scenario and judges their histories; shrinks what fails.

Owns the result of a seed and the summary of a scenario. One seed gives one history.
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
"""Violations kept of one seed; chosen, not measured."""


class SeedResult(msgspec.Struct):
    """Outcome of one seed.

    Attributes
    ----------
    kept
        Positions of the disturbances that are enough for the first violation, after shrinking.
    error
        What stopped the run, where it ended in an exception: a broken invariant within a process.
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
        """Whether a property was broken."""
        return bool(self.violations or self.error)

    def broken_checks(self) -> Counter[str]:
        """Return how often each checker found something."""
        if self.error:
            return Counter({"process": 1})
        return Counter(violation.check for violation in self.violations)


def run_plan(plan: Plan) -> tuple[SeedResult, History | None]:
    """Run one plan and judge it; the history is None where the run stopped with an error."""
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
    """Run one seed; if it fails, find a smaller list of faults that fails the same checker."""
    tune_collector()
    plan = plan_of(scenario, seed)
    result, _ = run_plan(plan)
    if shrink and result.failed:
        result.kept = shrunk(plan, result)
    return result


def shrunk(plan: Plan, result: SeedResult) -> list[int]:
    """Return positions of disturbances that still break what ``result`` broke.

    Disturbances are left out one by one, and again until none can be.
    """
    wanted = next(iter(result.broken_checks()))
    kept = list(range(len(plan.disturbances)))
    smaller = True
    while smaller:
        smaller = False
        for position in list(kept):
            fewer = [other for other in kept if other != position]
            trial, _ = run_plan(plan.only(tuple(fewer)))
            if wanted in trial.broken_checks():
                kept = fewer
                smaller = True
    return kept


def run_campaign(
    scenario: str, seeds: Sequence[int], workers: int, shrink: bool = True
) -> Iterator[SeedResult]:
    """Yield the result of each seed, in order."""
    if workers <= 1:
        for seed in seeds:
            yield run_seed(scenario, seed, shrink)
        return
    with ProcessPoolExecutor(workers) as pool:
        count = len(seeds)
        yield from pool.map(run_seed, [scenario] * count, seeds, [shrink] * count, chunksize=4)


def repeat_command(result: SeedResult) -> str:
    """Return the command that repeats a failing seed, with its shrunk list of faults."""
    command = f"finchshed prove --scenario={result.scenario} --seeds={result.seed}"
    if result.kept is not None:
        command += f" --only={','.join(map(str, result.kept)) or 'none'}"
    return command


class ScenarioSummary(msgspec.Struct):
    """A campaign over one scenario."""

    scenario: str
    seeds: int = 0
    failed: list[int] = []
    roots: int = 0
    processor_seconds: float = 0.0
    coverage: dict[str, int] = {}
    broken: dict[str, int] = {}

    def add(self, result: SeedResult) -> None:
        """Count one seed."""
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
    """Return a table of campaigns."""
    lines = [f"{'scenario':<18}{'seeds':>7}{'failed':>8}{'requests':>10}{'cpu s':>9}  broken"]
    for summary in summaries:
        broken = ", ".join(f"{name} {count}" for name, count in summary.broken.items())
        lines.append(
            f"{summary.scenario:<18}{summary.seeds:>7}{len(summary.failed):>8}"
            f"{summary.roots:>10}{summary.processor_seconds:>9.1f}  {broken or '-'}"
        )
    return lines
