"""One simulation: a group, a scenario, clients, and the verdict."""

import random

import msgspec

from finchshed.proof.consensus.clients import Client, DenseReader, OperationHistory
from finchshed.proof.consensus.group import Group
from finchshed.proof.consensus.linearizability import is_linearizable
from finchshed.proof.consensus.scenarios import SCENARIOS, ConsensusScenario
from finchshed.proof.consensus.scheduler import Process

_FIRST_LEADER_SECONDS = 10.0
"""Longest time a group may take to form, seconds."""
_RECOVERY_SECONDS = 40.0
"""Longest time to recover once all faults have ended, seconds."""
_CHECK_SECONDS = 0.5
"""Seconds between comparisons of all logs."""


class ConsensusVerdict(msgspec.Struct, frozen=True):
    """Outcome of one simulation.

    Attributes
    ----------
    violations
        What was broken; empty if all held.
    digest
        Digest of the whole history; the same for the same seed.
    recovery_seconds
        From the end of all faults until the group was whole and took changes again.
    """

    scenario: str
    seed: int
    violations: list[str]
    digest: str
    operations: int
    accepted: int
    recovery_seconds: float
    counts: dict[str, int]


_INITIAL_VOTERS = 3
"""Initial voters of a group that grows: as many as every machine is told of at the start."""


def _make_group(name: str, scenario: ConsensusScenario, rng: random.Random) -> Group:
    if not scenario.sizes:
        return Group(name, rng.choice((3, 3, 5)), scenario.spares)
    size = rng.choice(scenario.sizes)
    spares = size.machines - _INITIAL_VOTERS
    return Group(name, _INITIAL_VOTERS, spares, size.tolerated_failures)


class ConsensusSimulation:
    """Runs a scenario under a seed."""

    def __init__(self, scenario: str, seed: int) -> None:
        self._scenario_name = scenario
        self._scenario = SCENARIOS[scenario]
        self._seed = seed
        name = f"{scenario}/{seed}"
        rng = random.Random(f"{name}/size")
        self.group = _make_group(name, self._scenario, rng)
        self.history = OperationHistory()
        self._clients = [
            Client(
                f"c{number}",
                self.group,
                self.history,
                random.Random(f"{name}/c{number}"),
                home=rng.choice([None, *self.group.nodes]),
            )
            for number in range(self._scenario.clients)
        ]
        reader_rng = random.Random(f"{name}/readers")
        homes = reader_rng.sample(list(self.group.nodes.values()), self._scenario.dense_readers)
        self._readers = [DenseReader(home, self.group, reader_rng) for home in homes]
        self._recovery_seconds = float("inf")

    def run(self) -> ConsensusVerdict:
        """Run to the end and judge."""
        scheduler = self.group.scheduler
        scheduler.start(self._watch_logs())
        scheduler.run_until(scheduler.start(self._course()))
        self._judge()
        observer = self.group.observer
        return ConsensusVerdict(
            scenario=self._scenario_name,
            seed=self._seed,
            violations=observer.violations,
            digest=observer.digest,
            operations=len(self.history.operations),
            accepted=len(self._accepted()),
            recovery_seconds=self._recovery_seconds,
            counts=dict(sorted(observer.counts.items())),
        )

    def _course(self) -> Process:
        group = self.group
        group.start()
        if not self._scenario.from_start:
            formed = yield from group.wait_until(group.is_whole, _FIRST_LEADER_SECONDS)
            if not formed:
                group.observer.violated("the group was not formed in time")
                return
        working: list[Client | DenseReader] = [*self._clients, *self._readers]
        running = [group.scheduler.start(client.run()) for client in working]
        yield group.scheduler.start(self._scenario.inject(group))
        group.heal()
        yield from self._recover()
        for client in working:
            client.is_stopped = True
        yield group.scheduler.environment.all_of(running)
        yield from self._read_everywhere()

    def _recover(self) -> Process:
        """Wait until the group is whole and a change goes through."""
        group = self.group
        healed = group.scheduler.now
        is_whole = yield from group.wait_until(group.is_whole, _RECOVERY_SECONDS)
        if not is_whole:
            group.observer.violated("the group did not recover after all faults had ended")
            return
        answer = yield from Client("end", group, self.history, random.Random(0)).change()
        if answer is None:
            group.observer.violated("no change goes through after all faults had ended")
            return
        self._recovery_seconds = group.scheduler.now - healed

    def _read_everywhere(self) -> Process:
        reader = Client("reader", self.group, self.history, random.Random(1))
        for _ in self.group.nodes:
            yield from reader.read()

    def _watch_logs(self) -> Process:
        while True:
            yield self.group.scheduler.sleep(_CHECK_SECONDS)
            self.group.observer.check_log_matching(list(self.group.nodes.values()))

    def _accepted(self) -> dict[str, int]:
        """Return the revisions of the changes that clients were told are accepted."""
        accepted = {}
        for operation in self.history.operations:
            change, result = operation.change, operation.result
            if change is not None and result is not None and result.winner == change.change_id:
                accepted[change.change_id] = result.revision
        return accepted

    def _judge(self) -> None:
        observer = self.group.observer
        winners = self._final_winners()
        for change_id, revision in self._accepted().items():
            if winners[revision - 1 : revision] != [change_id]:
                observer.violated(f"accepted change {change_id} is not revision {revision}")
        if len(set(winners)) != len(winners):
            observer.violated("a change won two revisions")
        for change in self.history.refused:
            if change.change_id in winners:
                observer.violated(f"refused change {change.change_id} took effect")
        if not is_linearizable(self.history.operations):
            observer.violated("the history is not linearizable")

    def _final_winners(self) -> list[str]:
        """Return the winners of the node that applied most; others must have a prefix of them."""
        registers = [node.register.winners for node in self.group.running]
        longest = max(registers, key=len, default=[])
        for winners in registers:
            if winners != longest[: len(winners)]:
                self.group.observer.violated("registers of two nodes differ")
        return longest


def simulate(scenario: str, seed: int) -> ConsensusVerdict:
    """Run one simulation."""
    return ConsensusSimulation(scenario, seed).run()
