"""Simulated deployment of edges, daemons and back ends, using the real decision classes."""

import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import simpy

from finchshed.admission.effects import GateEffect, Start
from finchshed.admission.gate import Gate
from finchshed.admission.load_report import LoadReport
from finchshed.common.context import HEADER_DOWNSTREAM, CallContext
from finchshed.common.outcomes import Answered, Failed, FailureReason, Outcome, Refused
from finchshed.common.results import CallResult, result_of
from finchshed.configuration.resources import Endpoint
from finchshed.retry.account import RetryAccounts
from finchshed.retry.bucket import RetryBucket
from finchshed.routing.caller import CallStateMachine
from finchshed.routing.caller_effects import (
    CallerEffect,
    CancelAttempt,
    Finish,
    SendAttempt,
    SetTimer,
)
from finchshed.routing.table import RoutingTable

LINK_SECONDS = 0.0005
TICK_SECONDS = 0.01
ANSWER = Answered(200, (), b"")

CallDone = Callable[[Outcome, int], None]
ReplyDone = Callable[[Outcome, int, LoadReport | None], None]


@dataclass
class ServiceModel:
    """A service: its endpoints, service time, and the services that each of its requests calls."""

    name: str
    endpoints: int
    slots: int
    seconds: float
    calls: tuple[str, ...] = ()
    parallel: bool = False
    real_slots: int = 0
    backend_retries: int = 0
    """How often the back end itself retries an unanswered call."""


@dataclass
class Record:
    """Events recorded by the simulation."""

    attempts: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    sends: Counter[str] = field(default_factory=Counter)
    started: list[tuple[float, str, int]] = field(default_factory=list)
    refused: list[tuple[float, str, int, str]] = field(default_factory=list)


class System:
    """All nodes of a deployment, with one simulated clock and one seed."""

    def __init__(self, services: list[ServiceModel], edges: int, seed: int) -> None:
        self.env = simpy.Environment()
        self.rng = random.Random(seed)
        self.models = {model.name: model for model in services}
        self.slowdown: dict[str, float] = dict.fromkeys(self.models, 1.0)
        self.record = Record()
        self.serial = itertools.count(1)
        declared = [
            Endpoint(
                name=f"{model.name}-{number}",
                service=model.name,
                region="r",
                zone=f"z{number % 2}",
                address=f"127.0.0.1:{10000 + index * 100 + number}",
                slots=model.slots,
            )
            for index, model in enumerate(services)
            for number in range(model.endpoints)
        ]
        self.endpoints = {item.name: item for item in declared}
        self.daemons = {item.name: Daemon(self, item) for item in declared}
        self.edges = [Caller(self, f"z{number % 2}") for number in range(edges)]

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run ``action`` after ``delay`` seconds."""
        event = self.env.timeout(delay)
        assert event.callbacks is not None
        event.callbacks.append(lambda _: action())

    def crash(self, name: str, seconds: float) -> None:
        """Crash a daemon with its back end, losing all state; restart after ``seconds``."""
        self.daemons[name].crash()
        self.after(seconds, self.daemons[name].restart)


class Caller:
    """Outgoing side of a daemon: at an edge, or for the calls of a back end."""

    def __init__(self, system: System, zone: str) -> None:
        self.system = system
        self.table = RoutingTable(zone, "r", random.Random(system.rng.random()))
        self.table.replace(system.endpoints.values())
        self.buckets: dict[str, RetryBucket] = {}
        self.rng = random.Random(system.rng.random())

    def call(
        self, service: str, context: CallContext, repeatable: bool, done: CallDone
    ) -> "OutgoingCall":
        """Start a call; ``done`` receives its outcome and unused spare attempts."""
        bucket = self.buckets.get(service)
        if bucket is None:
            bucket = self.buckets[service] = RetryBucket(0.1, self.system.env.now)
        logic = CallStateMachine(
            self.table, bucket, service, context, repeatable=repeatable, rng=self.rng
        )
        outgoing = OutgoingCall(self, logic, context, done)
        outgoing.apply(logic.begin(self.system.env.now))
        return outgoing


class OutgoingCall:
    """Carries out the effects of one outgoing call."""

    def __init__(
        self, caller: Caller, logic: CallStateMachine, context: CallContext, done: CallDone
    ) -> None:
        self.caller = caller
        self.logic = logic
        self.context = context
        self.done = done
        self.began = caller.system.env.now
        self.timer = 0
        self.tokens: dict[int, int] = {}

    def apply(self, effects: list[CallerEffect]) -> None:
        """Carry out ``effects`` in order."""
        system = self.caller.system
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self.send(effect)
            elif isinstance(effect, SetTimer):
                self.timer += 1
                timer_id = self.timer
                delay = max(0.0, effect.at - system.env.now)
                system.after(delay, lambda timer_id=timer_id: self.on_timer(timer_id))  # type: ignore[misc]
            elif isinstance(effect, CancelAttempt):
                daemon = system.daemons[effect.endpoint.name]
                token = self.tokens[effect.attempt]
                system.after(LINK_SECONDS, lambda d=daemon, t=token: d.cancel(t))  # type: ignore[misc]
            elif isinstance(effect, Finish):
                self.timer += 1
                if isinstance(effect.outcome, Refused):
                    self.record_refusal(effect.outcome)
                self.done(effect.outcome, effect.spare_returned)

    def send(self, effect: SendAttempt) -> None:
        """Send one attempt over the link."""
        system = self.caller.system
        token = self.tokens[effect.attempt] = next(system.serial)
        elapsed = system.env.now - self.began
        context = CallContext(
            root=self.context.root,
            importance=self.context.importance,
            remaining_seconds=self.context.remaining_seconds - elapsed,
            spare_attempts=effect.allocated_attempts,
            depth=self.context.depth + 1,
            caller=self.context.caller,
            session=self.context.session,
            position=self.context.position,
        )
        system.record.sends[effect.endpoint.service] += 1
        daemon = system.daemons[effect.endpoint.name]

        def reply(outcome: Outcome, spare: int, load: LoadReport | None) -> None:
            now = system.env.now
            self.apply(self.logic.on_outcome(effect.attempt, outcome, spare, load, now))

        def replied(outcome: Outcome, spare: int, load: LoadReport | None) -> None:
            system.after(LINK_SECONDS, lambda: reply(outcome, spare, load))

        system.after(LINK_SECONDS, lambda: daemon.arrive(token, context, replied))

    def record_refusal(self, outcome: Refused) -> None:
        """Record a refused call."""
        importance = int(self.context.importance)
        target = f"to {self.logic.service}"
        now = self.caller.system.env.now
        self.caller.system.record.refused.append((now, target, importance, outcome.reason.value))

    def on_timer(self, timer_id: int) -> None:
        """Handle the timer unless it was replaced."""
        if timer_id == self.timer:
            self.apply(self.logic.on_timer(self.caller.system.env.now))

    def cancel(self) -> None:
        """Cancel the call."""
        self.apply(self.logic.cancel(self.caller.system.env.now))


@dataclass
class Job:
    """One request at a daemon or its back end."""

    token: int
    context: CallContext
    reply: ReplyDone
    arrived: float
    calls: list[OutgoingCall] = field(default_factory=list)
    running: bool = False
    over: bool = False


class Daemon(Caller):
    """A daemon with its gate and back end."""

    def __init__(self, system: System, endpoint: Endpoint) -> None:
        super().__init__(system, endpoint.zone)
        self.endpoint = endpoint
        self.model = system.models[endpoint.service]
        self.alive = True
        self.accounts = RetryAccounts()
        self.gate = Gate(endpoint.slots, self.rng, system.env.now)
        self.jobs: dict[int, Job] = {}
        self.back_end_queue: list[Job] = []
        self.busy = 0
        system.after(system.rng.random() * TICK_SECONDS, self.tick)

    def tick(self) -> None:
        """Tick the gate periodically."""
        self.apply_gate(self.gate.tick(self.system.env.now))
        self.system.after(TICK_SECONDS, self.tick)

    def arrive(self, token: int, context: CallContext, reply: ReplyDone) -> None:
        """Handle a call received over the link."""
        if not self.alive:
            reply(Failed(FailureReason.LINK_BROKEN, 0.1), 0, None)
            return
        self.system.record.attempts[self.model.name][context.root] += 1
        self.jobs[token] = Job(token, context, reply, self.system.env.now)
        self.apply_gate(self.gate.arrive(token, context, self.system.env.now))

    def apply_gate(self, effects: list[GateEffect]) -> None:
        """Carry out the effects of the gate."""
        now = self.system.env.now
        record = self.system.record
        for effect in effects:
            job = self.jobs[effect.token]
            importance = int(job.context.importance)
            if isinstance(effect, Start):
                record.started.append((now, self.endpoint.name, importance))
                self.accounts.open(str(effect.token), job.context.spare_attempts)
                job.running = True
                self.back_end_queue.append(job)
                self.run_back_end()
            else:
                record.refused.append((now, self.endpoint.name, importance, effect.reason.value))
                del self.jobs[effect.token]
                load = self.gate.load_report(now)
                spare = job.context.spare_attempts
                job.reply(Refused(effect.reason, effect.retry_after), spare, load)

    def run_back_end(self) -> None:
        """Start queued jobs in the back end's own slots."""
        slots = self.model.real_slots or self.model.slots
        while self.back_end_queue and self.busy < slots:
            job = self.back_end_queue.pop(0)
            self.busy += 1
            mean = self.model.seconds * self.system.slowdown[self.model.name]
            seconds = self.rng.gammavariate(4.0, mean / 4.0)
            self.system.after(seconds, lambda job=job: self.make_calls(job))  # type: ignore[misc]

    def make_calls(self, job: Job) -> None:
        """Call the downstream services, sequentially or in parallel."""
        if job.over:
            return
        pending = list(self.model.calls)
        if not pending:
            self.end(job, ANSWER)
            return
        remaining = [len(pending)]
        account = str(job.token)

        def start_call(service: str, retries: int) -> None:
            lent = self.accounts.allocate(account)
            if self.accounts.is_repeat(account, service):
                if lent < 1:
                    self.end(job, Failed(FailureReason.BACKEND_BROKEN, 0.1))
                    return
                lent -= 1
            elapsed = self.system.env.now - job.arrived
            context = CallContext(
                root=job.context.root,
                importance=job.context.importance,
                remaining_seconds=job.context.remaining_seconds - elapsed,
                spare_attempts=lent,
                depth=job.context.depth,
                caller=job.context.caller,
                session=job.context.session,
                position=job.context.position,
            )

            def done(outcome: Outcome, spare: int) -> None:
                self.accounts.refund(account, lent, spare)
                if job.over:
                    return
                if result_of(outcome) is not CallResult.OK:
                    self.accounts.on_call_failed(account, service)
                    if retries > 0:
                        start_call(service, retries - 1)
                        return
                    self.end(job, Failed(FailureReason.BACKEND_BROKEN, 0.1))
                    return
                remaining[0] -= 1
                if remaining[0] == 0:
                    self.end(job, ANSWER)
                elif not self.model.parallel:
                    start_call(pending.pop(0), self.model.backend_retries)

            job.calls.append(self.call(service, context, True, done))

        if self.model.parallel:
            for service in pending:
                start_call(service, self.model.backend_retries)
        else:
            start_call(pending.pop(0), self.model.backend_retries)

    def end(self, job: Job, outcome: Outcome) -> None:
        """Answer a job and release its slot."""
        self.release(job)
        spare = self.accounts.close(str(job.token))
        self.jobs.pop(job.token, None)
        now = self.system.env.now
        if isinstance(outcome, Failed):
            outcome = Answered(503, ((HEADER_DOWNSTREAM, "refused"),), b"")
        effects = self.gate.finish(job.token, result_of(outcome), now)
        job.reply(outcome, spare, self.gate.load_report(now))
        self.apply_gate(effects)

    def release(self, job: Job) -> None:
        """Stop a job at the back end."""
        job.over = True
        if job in self.back_end_queue:
            self.back_end_queue.remove(job)
        elif job.running:
            self.busy -= 1
        for call in job.calls:
            if not call.logic.finished:
                call.cancel()
        self.run_back_end()

    def cancel(self, token: int) -> None:
        """Handle a cancellation received over the link."""
        job = self.jobs.pop(token, None)
        if job is None or not self.alive:
            return
        now = self.system.env.now
        if not job.running:
            self.apply_gate(self.gate.cancel(token, now))
            return
        self.release(job)
        self.accounts.close(str(token))
        self.apply_gate(self.gate.finish(token, CallResult.CANCELLED, now))

    def crash(self) -> None:
        """Lose all state; the links of callers break."""
        self.alive = False
        jobs, self.jobs = list(self.jobs.values()), {}
        self.back_end_queue.clear()
        for job in jobs:
            job.over = True
            job.calls.clear()
            job.reply(Failed(FailureReason.LINK_BROKEN, 0.1), 0, None)
        self.busy = 0

    def restart(self) -> None:
        """Restart without state."""
        self.alive = True
        self.accounts = RetryAccounts()
        self.gate = Gate(self.endpoint.slots, self.rng, self.system.env.now)
