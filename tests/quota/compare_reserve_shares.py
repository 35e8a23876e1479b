"""Compares reserve shares: ``python -m tests.quota.compare_reserve_shares [SEEDS]``."""

import sys
from collections.abc import Callable

from finchshed.quota import limits
from tests.quota.quota_simulation import QuotaSimulation

TENANTS = 78
DAEMONS = 72
REQUESTS_PER_SECOND = 1300.0
BEGIN, END = 10.0, 40.0


def tenants() -> tuple[list[float], list[int]]:
    """Return the tenants' usual rates, a few of them large, and the daemons each one uses."""
    weights = [1.0 / (1.0 + number) ** 0.8 for number in range(TENANTS)]
    rates = [REQUESTS_PER_SECOND * weight / sum(weights) for weight in weights]
    return rates, [max(3, min(DAEMONS, int(rate))) for rate in rates]


def calm(simulation: QuotaSimulation) -> None:
    """Apply no disturbance."""


def hot(simulation: QuotaSimulation) -> None:
    """Raise the load of two tenants to 7.5 times the usual for 7 s."""
    for name in ("t1", "t30"):
        simulation.clock.at(15.0, lambda name=name: simulation.load_factors.update({name: 7.5}))  # type: ignore[misc]
        simulation.clock.at(22.0, lambda name=name: simulation.load_factors.update({name: 1.0}))  # type: ignore[misc]


def busy(simulation: QuotaSimulation) -> None:
    """Raise the load of all tenants to 1.5 times the usual."""
    simulation.load_factors = dict.fromkeys(simulation.usual_rates, 1.5)


def without_control(simulation: QuotaSimulation) -> None:
    """Leave the control group without a leader for 3 s."""
    simulation.clock.at(20.0, lambda: simulation.change_leader(3.0))


def restarts(simulation: QuotaSimulation) -> None:
    """Restart half of the daemons."""

    def restart() -> None:
        for daemon in simulation.daemons[::2]:
            daemon.restart()

    simulation.clock.at(20.0, restart)


def run_simulation(
    disturb: Callable[[QuotaSimulation], None], seed: int
) -> tuple[float, float, float]:
    """Return the fraction refused below the limit, the peak window ratio and messages/s."""
    simulation = QuotaSimulation(seed, DAEMONS, *tenants())
    disturb(simulation)
    simulation.clock.run(END)
    below = asked = 0
    for name in simulation.usual_rates:
        lost, all_asked = simulation.refused_below_limit(name, BEGIN, END)
        below += lost
        asked += all_asked
    fullest = max(simulation.peak_window_ratio(name, BEGIN) for name in simulation.usual_rates)
    return below / asked, fullest, simulation.messages / END


def main() -> None:
    """Print one line for each combination of reserve shares and disturbance."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    reserve_shares = [(0.0, 0.0), (0.1, 0.2), (0.1, 0.4), (0.2, 0.5), (0.4, 0.6)]
    for rate_share, capacity_share in reserve_shares:
        limits.RESERVE_RATE_SHARE = rate_share
        limits.RESERVE_CAPACITY_SHARE = capacity_share
        for disturb in (calm, hot, busy, without_control, restarts):
            results = [run_simulation(disturb, seed) for seed in range(seeds)]
            below = sum(result[0] for result in results) / seeds
            fullest = max(result[1] for result in results)
            messages = sum(result[2] for result in results) / seeds
            print(
                f"reserve {rate_share:.1f} of rate {capacity_share:.1f} of tokens  "
                f"{disturb.__name__:16} refused {below:.4%}  fullest {fullest:.2f}  "
                f"messages/s {messages:.0f}"
            )


if __name__ == "__main__":
    main()
