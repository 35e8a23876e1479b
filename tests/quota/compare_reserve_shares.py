"""Compares reserve shares: ``python -m tests.quota.compare_reserve_shares [SEEDS]``.

72 daemons, 78 tenants of unequal size, limits of 1.6 times the usual rate, 30 s.
"""

import sys
from collections.abc import Callable

from finchshed.quota import limits
from tests.quota.quota_simulation import QuotaSimulation

TENANTS = 78
DAEMONS = 72
REQUESTS_A_SECOND = 1300.0
BEGIN, END = 10.0, 40.0


def tenants() -> tuple[list[float], list[int]]:
    """Return the usual rates, a few large, and the daemons that each is spread over."""
    weights = [1.0 / (1.0 + number) ** 0.8 for number in range(TENANTS)]
    rates = [REQUESTS_A_SECOND * weight / sum(weights) for weight in weights]
    return rates, [max(3, min(DAEMONS, int(rate))) for rate in rates]


def calm(world: QuotaSimulation) -> None:
    """Nothing happens."""


def hot(world: QuotaSimulation) -> None:
    """Two tenants send many times their usual."""
    for name in ("t1", "t30"):
        world.clock.at(15.0, lambda name=name: world.factor.update({name: 7.5}))  # type: ignore[misc]
        world.clock.at(22.0, lambda name=name: world.factor.update({name: 1.0}))  # type: ignore[misc]


def busy(world: QuotaSimulation) -> None:
    """All tenants send 1.5 times their usual."""
    world.factor = dict.fromkeys(world.usual_rates, 1.5)


def without_control(world: QuotaSimulation) -> None:
    """There is no leader for 3 s."""
    world.clock.at(20.0, lambda: world.change_leader(3.0))


def restarts(world: QuotaSimulation) -> None:
    """Half of the daemons start anew."""

    def restart() -> None:
        for daemon in world.daemons[::2]:
            daemon.restart()

    world.clock.at(20.0, restart)


def play(disturb: Callable[[QuotaSimulation], None], seed: int) -> tuple[float, float, float]:
    """Return the share refused below the limit, the fullest window, and messages a second."""
    world = QuotaSimulation(seed, DAEMONS, *tenants())
    disturb(world)
    world.clock.run(END)
    below = asked = 0
    for name in world.usual_rates:
        lost, all_asked = world.refused_below_limit(name, BEGIN, END)
        below += lost
        asked += all_asked
    fullest = max(world.peak_window_ratio(name, BEGIN) for name in world.usual_rates)
    return below / asked, fullest, world.messages / END


def main() -> None:
    """Print the table."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    ways = [(0.0, 0.0), (0.1, 0.2), (0.1, 0.4), (0.2, 0.5), (0.4, 0.6)]
    for rate_share, stock_share in ways:
        limits.RESERVE_RATE_SHARE = rate_share
        limits.RESERVE_CAPACITY_SHARE = stock_share
        for disturb in (calm, hot, busy, without_control, restarts):
            results = [play(disturb, seed) for seed in range(seeds)]
            below = sum(result[0] for result in results) / seeds
            fullest = max(result[1] for result in results)
            messages = sum(result[2] for result in results) / seeds
            print(
                f"reserve {rate_share:.1f} of rate {stock_share:.1f} of tokens  "
                f"{disturb.__name__:16} refused {below:.4%}  fullest {fullest:.2f}  "
                f"messages/s {messages:.0f}"
            )


if __name__ == "__main__":
    main()
