"""Runs a scenario's seeds in the process of the test."""

from finchshed.proof.consensus.campaign import Summary
from finchshed.proof.consensus.run import simulate


def run_here(scenario: str, seeds: range, stop_at_failure: bool = False) -> Summary:
    """Run one scenario in this process."""
    summary = Summary(scenario=scenario)
    for seed in seeds:
        summary.add(simulate(scenario, seed))
        if stop_at_failure and summary.failures:
            break
    return summary
