"""Fault scripts drawn from a seed: any fault at any moment, together or twice.

A storm ends before its last phase, in which callers must be served again. Faults that the system
isn't asked to outlive are not drawn: no more than one control disk is lost a storm, and every
process that was killed starts again.
"""

import itertools
import random
from collections.abc import Callable, Sequence

import msgspec

from finchshed.fleet import acts
from finchshed.fleet.plan import backend_name, daemon_name
from finchshed.fleet.scenario import Expectation, FaultScenario
from finchshed.standins.settings import Phase

# The shape of a storm is chosen, not measured. A change of any figure changes the script of every
# seed, and with it what a seed that once failed stands for.
CALM_SECONDS = 3.0
STORM_SECONDS = 22.0
AFTER_SECONDS = 10.0
"""Lengths of the three phases; callers must be served in the last."""

LAST_ACT_SECONDS = CALM_SECONDS + STORM_SECONDS - 8.0
"""No fault begins later, and none takes longer than what is left then."""

FAULT_SECONDS = (0.5, 6.0)
"""Least and most seconds that a fault lasts."""

FULL_DISK_SECONDS = (3.0, 6.0)
"""Long enough for a change to meet it."""

FAULTS = (5, 9)
"""Least and most faults of a storm."""

OPERATORS = (1, 2)
"""Least and most operators, who change the configuration throughout."""

CHANGES = 20
CHANGE_PAUSE_SECONDS = 0.6
"""Changes of each operator, and the pause before each: 12 s of the storm."""

RESTART_SECONDS = (0.2, 3.0)
"""Least and most seconds that a killed process is gone."""

SLOW_FACTORS = (2.0, 6.0)
"""Least and most times that the work of a slow back end takes longer."""

DELAYS = (0.01, 0.2)
"""Least and most seconds that bytes between two zones come later."""

NARROW_BYTES = (5_000.0, 100_000.0)
"""Least and most bytes a second of a narrow link."""

TOGETHER_FRACTION = 0.3
"""Fraction of faults that come at the same moment as the one before."""

ANSWERED_AFTER = 0.97
"""Fraction of the last phase's requests that must be answered."""

Draw = Callable[[float], acts.FaultAct]


class Targets(msgspec.Struct, frozen=True):
    """What of a fleet faults can strike."""

    control: tuple[str, ...]
    edges: tuple[str, ...]
    endpoints: tuple[str, ...]
    services: tuple[str, ...]
    zones: tuple[str, ...]

    @property
    def daemons(self) -> tuple[str, ...]:
        """Processes of the data path."""
        return (*self.edges, *(daemon_name(endpoint) for endpoint in self.endpoints))


def storm(targets: Targets, seed: int) -> FaultScenario:
    """Return the storm of a seed."""
    generator = _Generator(targets, random.Random(seed))
    return FaultScenario(
        name=f"storm-{seed}",
        description="Faults drawn from a seed; everything that must hold holds",
        phase=(
            Phase(name="calm", duration_seconds=CALM_SECONDS),
            Phase(name="storm", duration_seconds=STORM_SECONDS),
            Phase(name="after", duration_seconds=AFTER_SECONDS),
        ),
        act=generator.script(),
        expect=(Expectation(load="*", phase="after", answered_at_least=ANSWERED_AFTER),),
    )


class _Generator:
    def __init__(self, targets: Targets, rng: random.Random) -> None:
        self._targets = targets
        self._rng = rng
        self._disks_to_lose = 1
        self._draws: tuple[Draw, ...] = (
            self._kill_daemon,
            self._kill_daemon,
            self._kill_back_end,
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

    def script(self) -> tuple[acts.FaultAct, ...]:
        operators = self._rng.randint(*OPERATORS)
        changes = [
            acts.ChangeConfiguration(
                at=CALM_SECONDS, times=CHANGES, pause_seconds=CHANGE_PAUSE_SECONDS
            )
            for _ in range(operators)
        ]
        number = self._rng.randint(*FAULTS)
        faults = [self._rng.choice(self._draws)(at) for at in self._times(number)]
        return (*changes, *faults)

    def _times(self, number: int) -> list[float]:
        times: list[float] = []
        for _ in itertools.repeat(None, number):
            if times and self._rng.random() < TOGETHER_FRACTION:
                times.append(times[-1])
            else:
                times.append(round(self._rng.uniform(CALM_SECONDS, LAST_ACT_SECONDS), 2))
        return times

    def _seconds(self) -> float:
        return round(self._rng.uniform(*FAULT_SECONDS), 2)

    def _one(self, names: Sequence[str]) -> str:
        return self._rng.choice(names)

    def _pair(self, names: Sequence[str]) -> tuple[str, str]:
        first, second = self._rng.sample(names, 2)
        return first, second

    def _kill(self, at: float, target: str, *, wipe: bool = False) -> acts.FaultAct:
        pause = round(self._rng.uniform(*RESTART_SECONDS), 2)
        return acts.Kill(at=at, target=target, restart_after_seconds=pause, wipe=wipe)

    def _kill_daemon(self, at: float) -> acts.FaultAct:
        return self._kill(at, self._one(self._targets.daemons))

    def _kill_back_end(self, at: float) -> acts.FaultAct:
        return self._kill(at, backend_name(self._one(self._targets.endpoints)))

    def _kill_control(self, at: float) -> acts.FaultAct:
        wipe = self._disks_to_lose > 0 and self._rng.random() < 0.5
        self._disks_to_lose -= wipe
        return self._kill(at, self._one(self._targets.control), wipe=wipe)

    def _freeze(self, at: float) -> acts.FaultAct:
        names = (*self._targets.daemons, *self._targets.control)
        return acts.Freeze(at=at, target=self._one(names), duration_seconds=self._seconds())

    def _restart(self, at: float) -> acts.FaultAct:
        names = (*self._targets.daemons, *self._targets.control)
        return acts.Restart(at=at, target=self._one(names))

    def _cut_zones(self, at: float) -> acts.FaultAct:
        source, target = self._pair(self._targets.zones)
        return self._cut(at, source, target)

    def _cut_process(self, at: float) -> acts.FaultAct:
        names = (*self._targets.daemons, *self._targets.control)
        return self._cut(at, self._one(names), "*")

    def _cut(self, at: float, source: str, target: str) -> acts.FaultAct:
        return acts.Cut(
            at=at,
            source=source,
            target=target,
            duration_seconds=self._seconds(),
            one_way=self._rng.random() < 0.3,
        )

    def _delay(self, at: float) -> acts.FaultAct:
        source, target = self._pair(self._targets.zones)
        return acts.Delay(
            at=at,
            source=source,
            target=target,
            delay_seconds=round(self._rng.uniform(*DELAYS), 3),
            duration_seconds=self._seconds(),
        )

    def _throttle(self, at: float) -> acts.FaultAct:
        return acts.Throttle(
            at=at,
            source="*",
            target=self._one(self._targets.daemons),
            bytes_per_second=round(self._rng.uniform(*NARROW_BYTES)),
            duration_seconds=self._seconds(),
        )

    def _reset(self, at: float) -> acts.FaultAct:
        source, target = self._pair(self._targets.zones)
        return acts.Reset(at=at, source=source, target=target)

    def _slow(self, at: float) -> acts.FaultAct:
        return acts.Slow(
            at=at,
            target=self._one(self._targets.services),
            factor=round(self._rng.uniform(*SLOW_FACTORS), 1),
            duration_seconds=self._seconds(),
        )

    def _misreport(self, at: float) -> acts.FaultAct:
        return acts.MisreportLoad(
            at=at, target=self._one(self._targets.endpoints), duration_seconds=self._seconds()
        )

    def _fill_disk(self, at: float) -> acts.FaultAct:
        target = self._one(self._targets.control)
        seconds = round(self._rng.uniform(*FULL_DISK_SECONDS), 2)
        return acts.FillDisk(at=at, target=target, duration_seconds=seconds)
