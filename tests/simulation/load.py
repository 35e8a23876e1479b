"""Open-loop clients that retry aggressively, and their goodput."""

import bisect
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from finchshed.common.context import CallContext
from finchshed.common.importance import Importance
from finchshed.common.outcomes import Answered, Outcome
from tests.simulation.system import Caller, System

CLASS_FRACTIONS = (
    (Importance.SHEDDABLE, 0.5),
    (Importance.NORMAL, 0.3),
    (Importance.HIGH, 0.15),
    (Importance.CRITICAL, 0.05),
)


@dataclass
class Clients:
    """Clients of one service; ``rate`` returns the requests per second at a given time.

    They retry after ``pause`` seconds, whatever the retry-after time.
    """

    system: System
    service: str
    rate: Callable[[float], float]
    until: float
    deadline: float = 1.0
    retries: int = 3
    pause: float = 0.1
    class_fractions: tuple[tuple[Importance, float], ...] = CLASS_FRACTIONS
    spare_attempts: int = 3
    offered: dict[Importance, list[float]] = field(
        default_factory=lambda: {item: [] for item in Importance}
    )
    answered_at: dict[Importance, list[float]] = field(
        default_factory=lambda: {item: [] for item in Importance}
    )
    answered_began: dict[Importance, list[float]] = field(
        default_factory=lambda: {item: [] for item in Importance}
    )
    roots: int = 0

    def __post_init__(self) -> None:
        self.serial = itertools.count()
        self.system.after(0.0, self.next)

    def next(self) -> None:
        """Send a request and schedule the next."""
        now = self.system.env.now
        if now >= self.until:
            return
        rng = self.system.rng
        importance = rng.choices(
            [item for item, _ in self.class_fractions],
            [fraction for _, fraction in self.class_fractions],
        )[0]
        self.offered[importance].append(now)
        root = f"root-{next(self.serial)}"
        self.attempt(root, importance, now, 0)
        self.system.after(rng.expovariate(self.rate(now)), self.next)

    def attempt(self, root: str, importance: Importance, began: float, retry: int) -> None:
        """Send a request for the first time or as a retry."""
        self.roots += 1
        edge: Caller = self.system.rng.choice(self.system.edges)
        context = CallContext(
            root=f"{root}.{retry}",
            importance=importance,
            remaining_seconds=self.deadline,
            spare_attempts=self.spare_attempts,
        )

        def done(outcome: Outcome, spare: int) -> None:
            if isinstance(outcome, Answered) and outcome.status < 500:
                self.answered_at[importance].append(self.system.env.now)
                self.answered_began[importance].append(began)
            elif retry < self.retries:
                pause = self.pause * (0.5 + self.system.rng.random())
                self.system.after(pause, lambda: self.attempt(root, importance, began, retry + 1))

        edge.call(self.service, context, True, done)

    def goodput(self, start: float, end: float) -> float:
        """Return the answers per second between two times."""
        total = sum(
            bisect.bisect_left(times, end) - bisect.bisect_left(times, start)
            for times in self.answered_at.values()
        )
        return total / (end - start)

    def answered_fraction(self, importance: Importance, start: float, end: float) -> float:
        """Return the fraction answered of the requests first sent between two times."""
        offered = sum(1 for began in self.offered[importance] if start <= began < end)
        answered = sum(1 for began in self.answered_began[importance] if start <= began < end)
        return answered / offered if offered else 1.0

    def recovery(self, trigger_end: float, before: float, window: float = 0.25) -> float:
        """Return the seconds from ``trigger_end`` until the goodput reaches 0.95 of ``before``."""
        step = 0.05
        start = trigger_end
        while start + window <= self.until:
            if self.goodput(start, start + window) >= 0.95 * before:
                return start - trigger_end
            start += step
        return float("inf")
