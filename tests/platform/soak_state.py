"""State of one run of the soak, shared by its acts, its load and its checks."""

import asyncio
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field

from tests.platform.duplicating_backend import DuplicationPlan
from tests.platform.fake_backend import FakeBackend
from tests.platform.fake_platform import FakePlatform, Machine
from tests.platform.open_loop import SentRequest

PURCHASE_PREFIX = "b"
"""First character of the identities of requests that may run once only."""

RETURNABLE_STATUSES = frozenset({429, 503})
"""Refusals that tell the client when to return."""


@dataclass
class NamedPeriod:
    """A time in which a back end named a limit, or that it leaves."""

    backend: FakeBackend
    began: float
    ended: float = float("inf")
    rate: float = 0.0

    @property
    def is_over(self) -> bool:
        """Whether the back end names it no more."""
        return self.ended < float("inf")


@dataclass(frozen=True)
class ConfigurationRead:
    """A read of the configuration that was answered; ``began`` is in monotonic seconds."""

    began: float
    version: int


@dataclass(frozen=True)
class Download:
    """How a download without a length ended at its client.

    ``looks_whole`` tells whether HTTP/1.1 counts it as a complete success.
    """

    identity: str
    received: int
    looks_whole: bool
    is_whole: bool


@dataclass
class Soak:
    """State of one run."""

    running: FakePlatform
    rng: random.Random
    limits: list[NamedPeriod] = field(default_factory=list)
    leaves: list[NamedPeriod] = field(default_factory=list)
    disturbed: dict[int, list[float]] = field(default_factory=dict)
    sent: list[SentRequest] = field(default_factory=list)
    returned: list[SentRequest] = field(default_factory=list)
    """Those of ``sent`` that clients sent once more after a refusal."""

    acts: Counter[str] = field(default_factory=Counter)
    ends: Counter[int] = field(default_factory=Counter)
    """Exit codes of processes that ended by themselves."""

    version: int = 3
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    """Monotonic times of acknowledgements of the configuration, and the versions."""

    reads: list[ConfigurationRead] = field(default_factory=list)
    downloads: list[Download] = field(default_factory=list)
    loses_disks: bool = False
    """Whether control machines lose their disks, one at a time, in place of other restarts."""

    lost_disks: int = 0
    ended_with_acknowledgement: bool = False
    """Whether a change was acknowledged right before all processes were killed at the end."""

    changes_in_series: bool = False
    """Whether the configuration is large and changes all the time."""

    broken_answers: int = 0
    plan: DuplicationPlan | None = None
    """What back ends turn away and send twice, in some seeds. Refused clients then keep the
    identity of their request when they return."""

    locks: dict[str, asyncio.Lock] = field(default_factory=dict)

    def lock(self, machine: Machine) -> asyncio.Lock:
        """Return the lock under which a process is signalled, ended and started."""
        return self.locks.setdefault(machine.ip, asyncio.Lock())

    def disturb(self, daemon: int) -> None:
        """Record a restart or a freeze, or its end."""
        self.disturbed.setdefault(daemon, []).append(time.monotonic())

    def last_disturbance(self, daemon: int, before: float) -> float:
        """Return when a daemon was last disturbed before a time."""
        times = [at for at in self.disturbed.get(daemon, []) if at <= before]
        return max(times, default=float("-inf"))


async def freeze(soak: Soak, daemon: int, seconds: float) -> None:
    """Suspend a daemon for a time."""
    machine = soak.running.daemons[daemon]
    async with soak.lock(machine):
        soak.disturb(daemon)
        machine.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        machine.signal(signal.SIGCONT)
        soak.disturb(daemon)


def told_seconds(request: SentRequest) -> float | None:
    """Return the time after which a refused client may return; None if it was told none."""
    try:
        told = float(request.headers["retry-after"])
    except (KeyError, ValueError):
        return None
    return told if 0.0 <= told < float("inf") else None
