"""A small world for quotas: daemons, leaders of the control group, and a network that fails.

The daemons' shares and the leader's division are the real ones. A request counts as run when it
gets its token.
"""

import random
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from finchshed.configuration.resources import Policy, Tenant
from finchshed.quota.allocator import QuotaAllocator
from finchshed.quota.daemon_share import REPORT_INTERVAL_SECONDS, DaemonShare, TokenDecision
from finchshed.quota.messages import QuotaAsk, QuotaReport, QuotaShares, QuotaTokens
from tests.event_clock import Clock

OVERLAP_SECONDS = 1.0
"""A leader goes on granting for up to this long beside its successor."""

ASK_SECONDS = 0.25
WINDOW_SECONDS = 5.0


@dataclass
class Counts:
    """What became of a tenant's requests."""

    asked: list[float] = field(default_factory=list)
    run: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    unanswered: list[float] = field(default_factory=list)
    messages: int = 0


class Daemon:
    """A daemon with its shares; ``way`` is whom it sends to now."""

    def __init__(self, world: "QuotaSimulation", number: int) -> None:
        self.world = world
        self.name = f"d{number}"
        self.life = 0
        self.share = DaemonShare("0")
        self.frozen_until = 0.0
        self.partitioned_until = 0.0
        self.delayed_until = 0.0
        world.clock.at(world.rng.uniform(0.0, REPORT_INTERVAL_SECONDS), self.report)

    def restart(self) -> None:
        """Begin another life, with nothing held."""
        self._repeat_later()
        self.life += 1
        self.share = DaemonShare(str(self.life), self.life)
        self.configure()

    def _repeat_later(self) -> None:
        """Have a line of the life that ends come to the leader after the next life's."""
        world = self.world
        report = self.share.next_report(world.clock.now)
        leader = world.leader_of(self)
        if report is not None and leader is not None:
            life = self.life
            late = world.clock.now + world.rng.uniform(0.0, 3.0)
            world.clock.at(late, lambda: leader.take(self, life, report))

    def configure(self) -> None:
        """Take the limits in force."""
        self.share.configure(self.world.tenants, self.world.policy, self.world.clock.now)

    def report(self) -> None:
        """Tell the leader."""
        clock = self.world.clock
        if clock.now >= self.frozen_until:
            report = self.share.next_report(clock.now)
            if report is not None:
                self._send(report)
        clock.at(clock.now + REPORT_INTERVAL_SECONDS, self.report)

    def send_request(self, tenant: str) -> None:
        """Take a request of a tenant."""
        world, now = self.world, self.world.clock.now
        if now < self.frozen_until:
            return
        counts = world.counts[tenant]
        counts.asked.append(now)
        match self.share.take(tenant, now):
            case TokenDecision.TAKEN:
                counts.run.append(now)
            case TokenDecision.DENIED:
                counts.refused.append(now)
            case TokenDecision.UNREACHED:
                counts.unanswered.append(now)
            case TokenDecision.ASK:
                ask = self.share.next_ask(tenant, 1)
                waiting = self.world.waiting
                waiting[(self.name, self.life, ask.number)] = (ask, now)
                self._send(ask)
                world.clock.at(now + ASK_SECONDS, lambda: self._give_up(ask, counts))

    def take(self, life: int, answer: QuotaShares | QuotaTokens) -> None:
        """Take an answer, once the process runs."""
        clock = self.world.clock
        if clock.now < self.frozen_until:
            clock.at(self.frozen_until, lambda: self.take(life, answer))
            return
        if life != self.life:
            return
        if isinstance(answer, QuotaShares):
            self.share.on_shares(answer, clock.now)
            return
        waited = self.world.waiting.pop((self.name, life, answer.number), None)
        if waited is None:
            return
        ask, _ = waited
        self.share.on_tokens(ask, answer, self.world.rng.random(), clock.now)
        counts = self.world.counts[ask.tenant]
        has_token = bool(answer.tokens) or self.share.take_local(ask.tenant, clock.now)
        (counts.run if has_token else counts.refused).append(clock.now)

    def _give_up(self, ask: QuotaAsk, counts: Counts) -> None:
        now = self.world.clock.now
        if self.world.waiting.pop((self.name, self.life, ask.number), None) is None:
            return
        self.share.on_ask_timeout(now)
        has_token = self.share.take_local(ask.tenant, now)
        (counts.run if has_token else counts.unanswered).append(now)

    def _send(self, message: QuotaReport | QuotaAsk) -> None:
        world, life = self.world, self.life
        world.messages += 1
        now = world.clock.now
        if now < self.partitioned_until:
            return
        leader = world.leader_of(self)
        if leader is None:
            return
        arrives = max(now, self.delayed_until) + world.rng.expovariate(200.0)
        world.clock.at(arrives, lambda: leader.take(self, life, message))


class Leader:
    """A leader of the control group; it may go on for a moment beside its successor."""

    def __init__(self, world: "QuotaSimulation") -> None:
        self.world = world
        self.ends_at = float("inf")
        self.division = QuotaAllocator(world.clock.now, world.recorded_daemons)
        self.configure()
        self.tick()

    def configure(self) -> None:
        """Take the limits in force."""
        self.division.configure(self.world.tenants, self.world.policy, self.world.clock.now)

    def tick(self) -> None:
        """Have the division look at what has ended, as the control node does."""
        clock = self.world.clock
        self.division.tick(clock.now)
        if clock.now < self.ends_at:
            self._note()
        if clock.now < self.ends_at:
            clock.at(clock.now + 0.25, self.tick)

    def _note(self) -> None:
        """Have the log note what it is to note; it takes a moment and may be lost."""
        world = self.world
        added, removed = (
            self.division.unrecorded_daemons(),
            self.division.expired_daemons(world.clock.now),
        )
        if (added or removed) and world.rng.random() < 0.9:
            world.recorded_daemons = (world.recorded_daemons - set(removed)) | set(added)
            later = world.clock.now + world.rng.expovariate(50.0)
            world.clock.at(later, lambda: self.division.on_recorded(added, removed))

    def take(self, daemon: Daemon, life: int, message: QuotaReport | QuotaAsk) -> None:
        """Answer a daemon."""
        clock = self.world.clock
        if clock.now >= self.ends_at:
            return
        if isinstance(message, QuotaReport):
            answer: QuotaShares | QuotaTokens | None = self.division.on_report(
                daemon.name, message, clock.now
            )
        else:
            answer = self.division.on_ask(message, clock.now)
        if answer is None or clock.now < daemon.partitioned_until:
            return
        taken = answer
        arrives = max(clock.now, daemon.delayed_until) + self.world.rng.expovariate(200.0)
        clock.at(arrives, lambda: daemon.take(life, taken))


class QuotaSimulation:
    """Daemons and leaders under load, and faults drawn from a seed.

    Parameters
    ----------
    rates
        Requests a second of each tenant, as usual; its limit is 1.6 times that.
    spread
        Daemons that each tenant's callers use.
    """

    def __init__(
        self, seed: int, daemons: int, rates: Sequence[float], spread: Sequence[int]
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.policy = Policy()
        self.usual_rates = dict(zip((f"t{n}" for n in range(len(rates))), rates, strict=True))
        self.factor = dict.fromkeys(self.usual_rates, 1.0)
        self.tenants = [self._tenant(name, 1.6 * rate) for name, rate in self.usual_rates.items()]
        self.counts: dict[str, Counts] = defaultdict(Counts)
        self.waiting: dict[tuple[str, int, int], tuple[QuotaAsk, float]] = {}
        self.messages = 0
        self.recorded_daemons: set[str] = set()
        self.leaders: list[Leader] = [Leader(self)]
        self.daemons = [Daemon(self, number) for number in range(daemons)]
        self.daemons_by_tenant = {
            name: self.rng.sample(self.daemons, min(count, daemons))
            for name, count in zip(self.usual_rates, spread, strict=True)
        }
        self.configure()
        for name in self.usual_rates:
            self.clock.at(8.0, lambda name=name: self._arrive(name))  # type: ignore[misc]

    def configure(self) -> None:
        """Put the limits in force everywhere."""
        for holder in (*self.leaders, *self.daemons):
            holder.configure()

    def set_limit(self, name: str, rate: float) -> None:
        """Give a tenant another limit."""
        self.tenants = [
            self._tenant(name, rate) if tenant.name == name else tenant for tenant in self.tenants
        ]
        self.configure()

    def leader_of(self, daemon: Daemon) -> Leader | None:
        """Return the leader that a daemon's messages go to."""
        live = [leader for leader in self.leaders if leader.ends_at > self.clock.now]
        return self.rng.choice(live) if live else None

    def change_leader(self, gap: float) -> None:
        """Have the leader replaced: after ``gap`` seconds, or with an overlap where negative."""
        now = self.clock.now
        overlap = min(OVERLAP_SECONDS, max(0.0, -gap))
        self._end_leaders(overlap)

        def follow() -> None:
            self._end_leaders(overlap)
            self.leaders.append(Leader(self))

        self.clock.at(now + max(0.0, gap), follow)

    def _end_leaders(self, overlap: float) -> None:
        for leader in self.leaders:
            leader.ends_at = min(leader.ends_at, self.clock.now + overlap)

    def peak_window_ratio(self, name: str, since: float) -> float:
        """Return the largest window of a tenant as a part of what it may hold."""
        tenant = next(tenant for tenant in self.tenants if tenant.name == name)
        most = (
            tenant.requests_per_second * WINDOW_SECONDS + tenant.burst_requests
        ) * 1.1 + self.policy.quota_slack
        run = sorted(time for time in self.counts[name].run if time >= since)
        first = largest = 0
        for last, time in enumerate(run):
            while run[first] < time - WINDOW_SECONDS:
                first += 1
            largest = max(largest, last - first + 1)
        return largest / most

    def refused_below_limit(self, name: str, since: float, until: float) -> tuple[float, int]:
        """Return the requests a central bucket takes beyond those that ran, and all requests."""
        tenant = next(tenant for tenant in self.tenants if tenant.name == name)
        counts = self.counts[name]
        level, at, taken = tenant.burst_requests, 0.0, 0
        asked = 0
        for time in sorted(counts.asked):
            level = min(tenant.burst_requests, level + (time - at) * tenant.requests_per_second)
            at = time
            if level >= 1.0:
                level -= 1.0
                if since <= time < until:
                    taken += 1
            if since <= time < until:
                asked += 1
        run = sum(since <= time < until for time in counts.run)
        return max(0, taken - run), asked

    def _tenant(self, name: str, rate: float) -> Tenant:
        return Tenant(name, requests_per_second=rate, burst_requests=rate)

    def _arrive(self, name: str) -> None:
        self.rng.choice(self.daemons_by_tenant[name]).send_request(name)
        rate = self.usual_rates[name] * self.factor[name]
        self.clock.at(self.clock.now + self.rng.expovariate(rate), lambda: self._arrive(name))
