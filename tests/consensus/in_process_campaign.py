"""Runs simulation seeds in the test process, so that patches apply to them."""

from finchshed.proof.consensus.campaign import ConsensusSummary
from finchshed.proof.consensus.run import simulate


def run_in_process(scenario: str, seeds: range, stop_at_failure: bool = False) -> ConsensusSummary:
    """Run ``seeds`` of one scenario, optionally up to the first failure."""
    summary = ConsensusSummary(scenario=scenario)
    for seed in seeds:
        summary.add(simulate(scenario, seed))
        if stop_at_failure and summary.failures:
            break
    return summary
