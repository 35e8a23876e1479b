"""A seeded world of daemons, back ends that end, and requests, around the register alone.

Each daemon stands beside one back end and holds a register of its own; news takes a while. Clients
ask again after a failure, one request crashes whatever runs it, and back ends are also killed for
no request's sake. ``python -m tests.quarantine.crash_world`` compares ways to decide.
"""

import enum
import heapq
import itertools
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

from finchshed.quarantine.messages import CrashRecord
from finchshed.quarantine.register import (
    LAST_OWN_RETRY_CRASHES,
    QUARANTINE_CRASHES,
    Assessment,
    QuarantineRegister,
    Suspicion,
)

CRASHING = "crashing"
DAY_SECONDS = 30.0
RUN_SECONDS = (0.1, 0.4)
CRASH_SECONDS = 0.05
DOWN_SECONDS = 3.0
CLIENT_PAUSE_SECONDS = 0.3
CRASHING_PAUSE_SECONDS = 0.1
BEGIN_SECONDS = 2.0


class Way(enum.Enum):
    """How it is decided what may run."""

    NOTHING = "nothing is held against a request"
    COUNT = "three crashes refuse, suspects run like others"
    ALONE = "three crashes refuse, suspects run alone"


@dataclass(eq=False)
class Run:
    """One request at one back end."""

    signature: str
    attempt: int
    is_suspect: bool = False
    has_ended: bool = False


@dataclass(eq=False)
class Backend:
    """A back end and the daemon beside it."""

    number: int
    start: int = 0
    is_up: bool = True
    running: list[Run] = field(default_factory=list)
    register: QuarantineRegister = field(default_factory=QuarantineRegister)

    @property
    def instance(self) -> str:
        """Name of its start."""
        return f"{self.number}-{self.start}"


@dataclass
class Seen:
    """What a day came to."""

    crashed_at: list[float] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)
    others: int = 0
    others_served: int = 0
    others_quarantined: set[str] = field(default_factory=set)
    suspected: set[str] = field(default_factory=set)


class World:
    """One day."""

    def __init__(
        self,
        seed: int,
        way: Way,
        *,
        backends: int = 5,
        per_second: float = 60.0,
        kills_per_second: float = 0.0,
        popular_share: float = 0.3,
        has_crashing: bool = True,
        news_seconds: float = 0.15,
    ) -> None:
        self.random = random.Random(seed)
        self.way = way
        self.backends = [Backend(number) for number in range(backends)]
        self.seen = Seen()
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._per_second = per_second
        self._popular_share = popular_share
        self._kills_per_second = kills_per_second
        self._news_seconds = news_seconds
        self._names = itertools.count()
        self.at(0.0, self._arrive)
        if has_crashing:
            self.at(BEGIN_SECONDS, self._arrive_crashing)
        if kills_per_second:
            self.at(self.random.expovariate(kills_per_second), self._kill)

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Have ``act`` called at ``when``."""
        heapq.heappush(self._events, (when, next(self._order), act))

    def play(self) -> Seen:
        """Play the day."""
        while self._events and self._events[0][0] < DAY_SECONDS:
            self.now, _, act = heapq.heappop(self._events)
            act()
        return self.seen

    def _arrive(self) -> None:
        is_popular = self.random.random() < self._popular_share
        name = f"popular-{self.random.randrange(3)}" if is_popular else f"one-{next(self._names)}"
        self.seen.others += 1
        self._ask(name, 0)
        self.at(self.now + self.random.expovariate(self._per_second), self._arrive)

    def _arrive_crashing(self) -> None:
        self._ask(CRASHING, 0)
        self.at(self.now + CRASHING_PAUSE_SECONDS, self._arrive_crashing)

    def _kill(self) -> None:
        self._end(self.random.choice(self.backends))
        self.at(self.now + self.random.expovariate(self._kills_per_second), self._kill)

    def _judge(self, daemon: Backend, signature: str) -> Assessment:
        if self.way is Way.NOTHING:
            return Assessment(Suspicion.FREE)
        judged = daemon.register.assess(signature, self.now)
        if self.way is Way.COUNT:
            refused = judged.crashes >= QUARANTINE_CRASHES
            return Assessment(Suspicion.QUARANTINED if refused else Suspicion.FREE, judged.crashes)
        return judged

    def _ask(self, signature: str, attempt: int) -> None:
        """Send a try from any daemon. Even attempts are a client's, odd ones the daemon's own."""
        daemon = self.random.choice(self.backends)
        up = [backend for backend in self.backends if backend.is_up]
        judged = self._judge(daemon, signature)
        if judged.suspicion is Suspicion.QUARANTINED:
            if signature != CRASHING:
                self.seen.others_quarantined.add(signature)
            return
        if not up:
            self._come_again(signature, attempt)
            return
        is_suspect = judged.suspicion is Suspicion.SUSPECT
        chosen = max(up, key=lambda one: hash_of(signature, one.instance))
        if not is_suspect:
            chosen = self.random.choice(up)
        elif any(run.is_suspect for run in chosen.running):
            self._come_again(signature, attempt)
            return
        self._run(chosen, Run(signature, attempt, is_suspect))

    def _run(self, backend: Backend, run: Run) -> None:
        backend.running.append(run)
        if run.signature == CRASHING:
            self.seen.sent_at.append(self.now)
            self.at(self.now + CRASH_SECONDS, lambda: self._crash(backend, run))
            return
        seconds = self.random.uniform(*RUN_SECONDS)
        self.at(self.now + seconds, lambda: self._complete(backend, run))

    def _crash(self, backend: Backend, run: Run) -> None:
        if not run.has_ended:
            self.seen.crashed_at.append(self.now)
            self._end(backend)

    def _complete(self, backend: Backend, run: Run) -> None:
        if run.has_ended:
            return
        backend.running.remove(run)
        self.seen.others_served += 1
        record = backend.register.on_completed(run.signature, self.now)
        if record is not None:
            self._tell((record,))

    def _end(self, backend: Backend) -> None:
        if not backend.is_up:
            return
        backend.is_up = False
        runs, backend.running = backend.running, []
        told = backend.register.on_crash(
            backend.instance, [run.signature for run in runs], self.now
        )
        self.seen.suspected.update(record.signature for record in told)
        self._tell(told)
        for run in runs:
            run.has_ended = True
            self._try_again(backend, run)
        self.at(self.now + DOWN_SECONDS, lambda: self._return(backend))

    def _return(self, backend: Backend) -> None:
        backend.start += 1
        backend.is_up = True

    def _try_again(self, backend: Backend, run: Run) -> None:
        if run.attempt % 2 == 0 and (
            self._judge(backend, run.signature).crashes <= LAST_OWN_RETRY_CRASHES
        ):
            self._ask(run.signature, run.attempt + 1)
        else:
            self._come_again(run.signature, run.attempt)

    def _come_again(self, signature: str, attempt: int) -> None:
        if signature != CRASHING and attempt < 2:
            pause = CLIENT_PAUSE_SECONDS * self.random.uniform(0.5, 1.5)
            self.at(self.now + pause, lambda: self._ask(signature, 2))

    def _tell(self, records: tuple[CrashRecord, ...]) -> None:
        def arrive() -> None:
            for backend in self.backends:
                backend.register.merge(records, self.now)

        if records:
            self.at(self.now + self._news_seconds, arrive)


def hash_of(signature: str, name: str) -> int:
    """Return a place of a name for a signature, the same in every process."""
    return random.Random(f"{signature} {name}").getrandbits(32)


def main() -> None:
    """Print what each way comes to over some seeds."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    worlds: dict[str, dict[str, float]] = {
        "one that crashes": {},
        "kills alone": {"has_crashing": False, "kills_per_second": 0.5},
        "both": {"kills_per_second": 0.5},
    }
    for name, changed in worlds.items():
        for way in Way:
            days = [World(seed, way, **changed).play() for seed in range(seeds)]  # type: ignore[arg-type]
            others = sum(day.others for day in days)
            print(
                f"{name:16} {way.name:8}"
                f" crashes a day {sum(len(day.crashed_at) for day in days) / seeds:6.2f}"
                f" most {max(len(day.crashed_at) for day in days):3}"
                f" others not served {1 - sum(d.others_served for d in days) / others:.4f}"
                f" others quarantined {sum(len(d.others_quarantined) for d in days):4}"
                f" suspected a day {sum(len(d.suspected) for d in days) / seeds:6.1f} of {others}"
            )


if __name__ == "__main__":
    main()
