"""Campaigns: every scenario under many seeds, and a summary of what was found."""

from collections import Counter
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec

from finchshed.proof.consensus.run import ConsensusVerdict, simulate

_SEEDS_PER_TASK = 20
"""Seeds handed to a process at a time."""


class ConsensusSummary(msgspec.Struct, kw_only=True):
    """What the seeds of one scenario gave.

    Attributes
    ----------
    failures
        Verdicts with a broken property.
    recovery_seconds
        Of every seed that recovered, in ascending order.
    """

    scenario: str
    seeds: int = 0
    operations: int = 0
    accepted: int = 0
    failures: list[ConsensusVerdict] = msgspec.field(default_factory=list)
    recovery_seconds: list[float] = msgspec.field(default_factory=list)
    counts: Counter[str] = msgspec.field(default_factory=Counter)

    def add(self, verdict: ConsensusVerdict) -> None:
        """Take in one verdict."""
        self.seeds += 1
        self.operations += verdict.operations
        self.accepted += verdict.accepted
        self.counts.update(verdict.counts)
        if verdict.violations:
            self.failures.append(verdict)
        if verdict.recovery_seconds != float("inf"):
            self.recovery_seconds.append(verdict.recovery_seconds)
            self.recovery_seconds.sort()

    def recovery_at(self, fraction: float) -> float:
        """Return the recovery time that this fraction of the seeds stayed within."""
        if not self.recovery_seconds:
            return float("inf")
        position = min(int(fraction * len(self.recovery_seconds)), len(self.recovery_seconds) - 1)
        return self.recovery_seconds[position]


def run_campaign(
    scenarios: Sequence[str], seeds: range, workers: int
) -> Iterator[ConsensusSummary]:
    """Run every scenario under every seed; yield a summary of each scenario as it ends."""
    with ProcessPoolExecutor(workers) as pool:
        for scenario in scenarios:
            summary = ConsensusSummary(scenario=scenario)
            names = [scenario] * len(seeds)
            for verdict in pool.map(simulate, names, seeds, chunksize=_SEEDS_PER_TASK):
                summary.add(verdict)
            yield summary
