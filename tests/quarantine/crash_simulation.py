"""Seeded simulation of daemons, crashing back ends and requests, using the real register.

``python -m tests.quarantine.crash_simulation [SEEDS]`` compares the policies.
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
    MAX_CRASHES_FOR_RETRY,
    QUARANTINE_CRASHES,
    Assessment,
    QuarantineRegister,
    Suspicion,
)

CRASHING = "crashing"
DURATION_SECONDS = 30.0
RUN_SECONDS = (0.1, 0.4)
CRASH_SECONDS = 0.05
RESTART_SECONDS = 3.0
CLIENT_PAUSE_SECONDS = 0.3
CRASHING_PAUSE_SECONDS = 0.1
CRASHING_START_SECONDS = 2.0


class Policy(enum.Enum):
    """Policy for requests with crashes."""

    NONE = "requests are never refused"
    COUNT = "refused after three crashes, suspects run like others"
    ISOLATE = "refused after three crashes, suspects run isolated"


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
        """Identity of the current process."""
        return f"{self.number}-{self.start}"


@dataclass
class Result:
    """Result of one run."""

    crashed_at: list[float] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)
    others: int = 0
    others_served: int = 0
    others_quarantined: set[str] = field(default_factory=set)
    suspected: set[str] = field(default_factory=set)


class Simulation:
    """One run with all random choices drawn from its seed."""

    def __init__(
        self,
        seed: int,
        policy: Policy,
        *,
        backends: int = 5,
        per_second: float = 60.0,
        kills_per_second: float = 0.0,
        popular_share: float = 0.3,
        has_crashing: bool = True,
        propagation_seconds: float = 0.15,
    ) -> None:
        self.random = random.Random(seed)
        self.policy = policy
        self.backends = [Backend(number) for number in range(backends)]
        self.result = Result()
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._per_second = per_second
        self._popular_share = popular_share
        self._kills_per_second = kills_per_second
        self._propagation_seconds = propagation_seconds
        self._names = itertools.count()
        self.at(0.0, self._arrive)
        if has_crashing:
            self.at(CRASHING_START_SECONDS, self._arrive_crashing)
        if kills_per_second:
            self.at(self.random.expovariate(kills_per_second), self._kill)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Call ``action`` at ``when``."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self) -> Result:
        """Run to the end."""
        while self._events and self._events[0][0] < DURATION_SECONDS:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    def _arrive(self) -> None:
        is_popular = self.random.random() < self._popular_share
        name = f"popular-{self.random.randrange(3)}" if is_popular else f"one-{next(self._names)}"
        self.result.others += 1
        self._send(name, 0)
        self.at(self.now + self.random.expovariate(self._per_second), self._arrive)

    def _arrive_crashing(self) -> None:
        self._send(CRASHING, 0)
        self.at(self.now + CRASHING_PAUSE_SECONDS, self._arrive_crashing)

    def _kill(self) -> None:
        self._stop(self.random.choice(self.backends))
        self.at(self.now + self.random.expovariate(self._kills_per_second), self._kill)

    def _assess(self, daemon: Backend, signature: str) -> Assessment:
        if self.policy is Policy.NONE:
            return Assessment(Suspicion.FREE)
        assessment = daemon.register.assess(signature, self.now)
        if self.policy is Policy.COUNT:
            refused = assessment.crashes >= QUARANTINE_CRASHES
            return Assessment(
                Suspicion.QUARANTINED if refused else Suspicion.FREE, assessment.crashes
            )
        return assessment

    def _send(self, signature: str, attempt: int) -> None:
        """Send an attempt from a random daemon; odd attempts are retries by the daemon itself."""
        daemon = self.random.choice(self.backends)
        up = [backend for backend in self.backends if backend.is_up]
        assessment = self._assess(daemon, signature)
        if assessment.suspicion is Suspicion.QUARANTINED:
            if signature != CRASHING:
                self.result.others_quarantined.add(signature)
            return
        if not up:
            self._retry_by_client(signature, attempt)
            return
        is_suspect = assessment.suspicion is Suspicion.SUSPECT
        chosen = max(up, key=lambda one: hash_of(signature, one.instance))
        if not is_suspect:
            chosen = self.random.choice(up)
        elif any(run.is_suspect for run in chosen.running):
            self._retry_by_client(signature, attempt)
            return
        self._run(chosen, Run(signature, attempt, is_suspect))

    def _run(self, backend: Backend, run: Run) -> None:
        backend.running.append(run)
        if run.signature == CRASHING:
            self.result.sent_at.append(self.now)
            self.at(self.now + CRASH_SECONDS, lambda: self._crash(backend, run))
            return
        seconds = self.random.uniform(*RUN_SECONDS)
        self.at(self.now + seconds, lambda: self._complete(backend, run))

    def _crash(self, backend: Backend, run: Run) -> None:
        if not run.has_ended:
            self.result.crashed_at.append(self.now)
            self._stop(backend)

    def _complete(self, backend: Backend, run: Run) -> None:
        if run.has_ended:
            return
        backend.running.remove(run)
        self.result.others_served += 1
        record = backend.register.on_completed(run.signature, self.now)
        if record is not None:
            self._publish((record,))

    def _stop(self, backend: Backend) -> None:
        if not backend.is_up:
            return
        backend.is_up = False
        runs, backend.running = backend.running, []
        records = backend.register.on_crash(
            backend.instance, [run.signature for run in runs], self.now
        )
        self.result.suspected.update(record.signature for record in records)
        self._publish(records)
        for run in runs:
            run.has_ended = True
            self._handle_failure(backend, run)
        self.at(self.now + RESTART_SECONDS, lambda: self._restart(backend))

    def _restart(self, backend: Backend) -> None:
        backend.start += 1
        backend.is_up = True

    def _handle_failure(self, backend: Backend, run: Run) -> None:
        if run.attempt % 2 == 0 and (
            self._assess(backend, run.signature).crashes <= MAX_CRASHES_FOR_RETRY
        ):
            self._send(run.signature, run.attempt + 1)
        else:
            self._retry_by_client(run.signature, run.attempt)

    def _retry_by_client(self, signature: str, attempt: int) -> None:
        if signature != CRASHING and attempt < 2:
            pause = CLIENT_PAUSE_SECONDS * self.random.uniform(0.5, 1.5)
            self.at(self.now + pause, lambda: self._send(signature, 2))

    def _publish(self, records: tuple[CrashRecord, ...]) -> None:
        def arrive() -> None:
            for backend in self.backends:
                backend.register.merge(records, self.now)

        if records:
            self.at(self.now + self._propagation_seconds, arrive)


def hash_of(signature: str, name: str) -> int:
    """Return a hash of a signature and a name that is the same in every process."""
    return random.Random(f"{signature} {name}").getrandbits(32)


def main() -> None:
    """Print the mean results of each policy."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    cases: dict[str, dict[str, float]] = {
        "one that crashes": {},
        "kills alone": {"has_crashing": False, "kills_per_second": 0.5},
        "both": {"kills_per_second": 0.5},
    }
    for name, changed in cases.items():
        for policy in Policy:
            runs = [Simulation(seed, policy, **changed).run() for seed in range(seeds)]  # type: ignore[arg-type]
            others = sum(run.others for run in runs)
            print(
                f"{name:16} {policy.name:8}"
                f" crashes per run {sum(len(run.crashed_at) for run in runs) / seeds:6.2f}"
                f" most {max(len(run.crashed_at) for run in runs):3}"
                f" others not served {1 - sum(d.others_served for d in runs) / others:.4f}"
                f" others quarantined {sum(len(d.others_quarantined) for d in runs):4}"
                f" suspected per run {sum(len(d.suspected) for d in runs) / seeds:6.1f} of {others}"
            )


if __name__ == "__main__":
    main()
