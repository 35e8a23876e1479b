"""Generates random fault scripts ("storms") from seeds.

Faults can overlap and repeat, and end before the last phase, in which service must have recovered.
A storm stays within what the system must survive: at most one control disk is lost, and every
killed process starts again.
"""

import itertools
import random
from collections.abc import Callable, Sequence

import msgspec

from finchshed.fleet import actions
from finchshed.fleet.plan import backend_name, daemon_name
from finchshed.fleet.scenario import Expectation, FaultScenario
from finchshed.standins.settings import Phase

# Any change of these values changes the script of every seed, so that seeds of earlier failures no
# longer reproduce them.
CALM_SECONDS = 3.0
STORM_SECONDS = 22.0
RECOVERY_SECONDS = 10.0
"""Durations of the three phases; service must have recovered in the last one."""

LATEST_FAULT_SECONDS = CALM_SECONDS + STORM_SECONDS - 8.0
"""Latest start of a fault, early enough for it to end within the storm."""

FAULT_DURATION_RANGE = (0.5, 6.0)
"""Minimum and maximum duration of a fault."""

FULL_DISK_DURATION_RANGE = (3.0, 6.0)
"""Minimum and maximum duration of a full disk, which must overlap a change."""

FAULT_COUNT_RANGE = (5, 9)
"""Minimum and maximum number of faults."""

OPERATOR_COUNT_RANGE = (1, 2)
"""Minimum and maximum number of operators that change the configuration."""

CHANGES_PER_OPERATOR = 20
CHANGE_PAUSE_SECONDS = 0.6
"""Changes of each operator and the pause before each; these spread over 12 s."""

RESTART_DELAY_RANGE = (0.2, 3.0)
"""Minimum and maximum delay before a killed process restarts."""

SLOW_FACTOR_RANGE = (2.0, 6.0)
"""Minimum and maximum factor of slowed service times."""

DELAY_RANGE = (0.01, 0.2)
"""Minimum and maximum delay of traffic between two zones, in seconds."""

BANDWIDTH_RANGE = (5_000.0, 100_000.0)
"""Minimum and maximum bandwidth of a throttled link, in bytes per second."""

SIMULTANEOUS_PROBABILITY = 0.3
"""Probability that a fault starts at the same time as the previous one."""

MIN_ANSWERED_AFTER = 0.97
"""Minimum fraction of requests answered in the last phase."""

ActionGenerator = Callable[[float], actions.FaultAction]


class StormTargets(msgspec.Struct, frozen=True):
    """Names in a fleet that faults can target."""

    control: tuple[str, ...]
    edges: tuple[str, ...]
    endpoints: tuple[str, ...]
    services: tuple[str, ...]
    zones: tuple[str, ...]

    @property
    def daemons(self) -> tuple[str, ...]:
        """Edges and daemons of endpoints."""
        return (*self.edges, *(daemon_name(endpoint) for endpoint in self.endpoints))


def storm(targets: StormTargets, seed: int) -> FaultScenario:
    """Return the scenario generated from ``seed``."""
    generator = _StormGenerator(targets, random.Random(seed))
    return FaultScenario(
        name=f"storm-{seed}",
        description="Faults drawn from a seed; everything that must hold holds",
        phase=(
            Phase(name="calm", duration_seconds=CALM_SECONDS),
            Phase(name="storm", duration_seconds=STORM_SECONDS),
            Phase(name="after", duration_seconds=RECOVERY_SECONDS),
        ),
        act=generator.script(),
        expect=(Expectation(load="*", phase="after", answered_at_least=MIN_ANSWERED_AFTER),),
    )


class _StormGenerator:
    def __init__(self, targets: StormTargets, rng: random.Random) -> None:
        self._targets = targets
        self._rng = rng
        self._remaining_disk_losses = 1
        self._generators: tuple[ActionGenerator, ...] = (
            self._kill_daemon,
            self._kill_daemon,
            self._kill_backend,
            self._kill_control,
            self._freeze,
            self._restart,
            self._cut_zones,
            self._cut_process,
            self._delay,
            self._throttle,
            self._reset,
            self._slow,
            self._misreport,
            self._fill_disk,
        )

    def script(self) -> tuple[actions.FaultAction, ...]:
        operators = self._rng.randint(*OPERATOR_COUNT_RANGE)
        changes = [
            actions.ChangeConfiguration(
                at=CALM_SECONDS, times=CHANGES_PER_OPERATOR, pause_seconds=CHANGE_PAUSE_SECONDS
            )
            for _ in range(operators)
        ]
        number = self._rng.randint(*FAULT_COUNT_RANGE)
        faults = [self._rng.choice(self._generators)(at) for at in self._draw_times(number)]
        return (*changes, *faults)

    def _draw_times(self, number: int) -> list[float]:
        times: list[float] = []
        for _ in itertools.repeat(None, number):
            if times and self._rng.random() < SIMULTANEOUS_PROBABILITY:
                times.append(times[-1])
            else:
                times.append(round(self._rng.uniform(CALM_SECONDS, LATEST_FAULT_SECONDS), 2))
        return times

    def _draw_duration(self) -> float:
        return round(self._rng.uniform(*FAULT_DURATION_RANGE), 2)

    def _choose(self, names: Sequence[str]) -> str:
        return self._rng.choice(names)

    def _choose_pair(self, names: Sequence[str]) -> tuple[str, str]:
        first, second = self._rng.sample(names, 2)
        return first, second

    def _kill(self, at: float, target: str, *, wipe: bool = False) -> actions.FaultAction:
        pause = round(self._rng.uniform(*RESTART_DELAY_RANGE), 2)
        return actions.Kill(at=at, target=target, restart_after_seconds=pause, wipe=wipe)

    def _kill_daemon(self, at: float) -> actions.FaultAction:
        return self._kill(at, self._choose(self._targets.daemons))

    def _kill_backend(self, at: float) -> actions.FaultAction:
        return self._kill(at, backend_name(self._choose(self._targets.endpoints)))

    def _kill_control(self, at: float) -> actions.FaultAction:
        wipe = self._remaining_disk_losses > 0 and self._rng.random() < 0.5
        self._remaining_disk_losses -= wipe
        return self._kill(at, self._choose(self._targets.control), wipe=wipe)

    def _freeze(self, at: float) -> actions.FaultAction:
        names = (*self._targets.daemons, *self._targets.control)
        return actions.Freeze(
            at=at, target=self._choose(names), duration_seconds=self._draw_duration()
        )

    def _restart(self, at: float) -> actions.FaultAction:
        names = (*self._targets.daemons, *self._targets.control)
        return actions.Restart(at=at, target=self._choose(names))

    def _cut_zones(self, at: float) -> actions.FaultAction:
        source, target = self._choose_pair(self._targets.zones)
        return self._cut(at, source, target)

    def _cut_process(self, at: float) -> actions.FaultAction:
        names = (*self._targets.daemons, *self._targets.control)
        return self._cut(at, self._choose(names), "*")

    def _cut(self, at: float, source: str, target: str) -> actions.FaultAction:
        return actions.Cut(
            at=at,
            source=source,
            target=target,
            duration_seconds=self._draw_duration(),
            one_way=self._rng.random() < 0.3,
        )

    def _delay(self, at: float) -> actions.FaultAction:
        source, target = self._choose_pair(self._targets.zones)
        return actions.Delay(
            at=at,
            source=source,
            target=target,
            delay_seconds=round(self._rng.uniform(*DELAY_RANGE), 3),
            duration_seconds=self._draw_duration(),
        )

    def _throttle(self, at: float) -> actions.FaultAction:
        return actions.Throttle(
            at=at,
            source="*",
            target=self._choose(self._targets.daemons),
            bytes_per_second=round(self._rng.uniform(*BANDWIDTH_RANGE)),
            duration_seconds=self._draw_duration(),
        )

    def _reset(self, at: float) -> actions.FaultAction:
        source, target = self._choose_pair(self._targets.zones)
        return actions.Reset(at=at, source=source, target=target)

    def _slow(self, at: float) -> actions.FaultAction:
        return actions.Slow(
            at=at,
            target=self._choose(self._targets.services),
            factor=round(self._rng.uniform(*SLOW_FACTOR_RANGE), 1),
            duration_seconds=self._draw_duration(),
        )

    def _misreport(self, at: float) -> actions.FaultAction:
        return actions.MisreportLoad(
            at=at,
            target=self._choose(self._targets.endpoints),
            duration_seconds=self._draw_duration(),
        )

    def _fill_disk(self, at: float) -> actions.FaultAction:
        target = self._choose(self._targets.control)
        seconds = round(self._rng.uniform(*FULL_DISK_DURATION_RANGE), 2)
        return actions.FillDisk(at=at, target=target, duration_seconds=seconds)
