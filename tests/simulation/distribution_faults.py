"""Faults injected into a simulated distribution, drawn from its seed."""

from tests.simulation.distribution import ZONES, Daemon, Simulation

CHANGE_SECONDS = (0.05, 1.5)
EXCHANGE_SECONDS = 0.02
FAULT_SECONDS = (0.3, 2.5)
PARTITION_SECONDS = (0.5, 12.0)
SLOW_SECONDS = (0.2, 6.0)


class Faults:
    """Changes, exchanges and faults until :meth:`end`; ``random_faults`` draws faults by seed."""

    def __init__(self, simulation: Simulation, random_faults: bool = True) -> None:
        self.simulation = simulation
        self.is_over = False
        self.kinds = (
            self.partition_zone,
            self.isolate_node,
            self.restart_daemon,
            self.restart_control,
            self.break_link,
            self.slow_reader,
        )
        simulation.accept()
        self._change()
        self._exchange_random()
        if random_faults:
            self._fault()

    def end(self) -> None:
        """Stop injecting faults and accepting changes, and heal all partitions."""
        self.is_over = True
        self.simulation.partitions.zones.clear()
        self.simulation.partitions.nodes.clear()
        self._release_links()

    def partition_zone(self) -> None:
        """Partition a zone from one or both others for a random time."""
        zone, *others = self.simulation.rng.sample(ZONES, len(ZONES))
        pairs = {frozenset((zone, other)) for other in others[: self.simulation.rng.randint(1, 2)]}
        self.simulation.partitions.zones |= pairs

        def heal() -> None:
            self.simulation.partitions.zones -= pairs
            self._release_links()

        self.simulation.after(self.simulation.rng.uniform(*PARTITION_SECONDS), heal)

    def isolate_node(self) -> None:
        """Silently isolate one node from all others for a random time."""
        node = self.simulation.rng.choice([*self.simulation.control, *self.simulation.daemons])
        self.simulation.partitions.nodes.add(node.name)

        def heal() -> None:
            self.simulation.partitions.nodes.discard(node.name)
            self._release_links()

        self.simulation.after(self.simulation.rng.uniform(*PARTITION_SECONDS), heal)

    def restart_daemon(self) -> None:
        """Crash a daemon and restart it immediately."""
        self.simulation.rng.choice(self.simulation.daemons).restart()

    def restart_control(self) -> None:
        """Crash a control node and restart it immediately."""
        self.simulation.rng.choice(self.simulation.control).restart()

    def break_link(self) -> None:
        """Break a daemon's connection to control."""
        link = self.simulation.rng.choice(self.simulation.daemons).link
        if link is not None:
            link.close()

    def slow_reader(self) -> None:
        """Stop a daemon from reading for a random time, so that its buffer at control is full."""
        link = self.simulation.rng.choice(self.simulation.daemons).link
        if link is None:
            return
        link.control.set_full(link, True)
        pause = self.simulation.rng.uniform(*SLOW_SECONDS)
        self.simulation.after(pause, lambda: link.control.set_full(link, False))

    def _release_links(self) -> None:
        for daemon in self.simulation.daemons:
            if daemon.link is not None:
                daemon.link.release()

    def _change(self) -> None:
        if not self.is_over:
            self.simulation.accept()
            self.simulation.after(self.simulation.rng.uniform(*CHANGE_SECONDS), self._change)

    def _exchange_random(self) -> None:
        first, second = self.simulation.rng.sample(self.simulation.daemons, 2)
        self._exchange(first, second)
        self.simulation.after(EXCHANGE_SECONDS, self._exchange_random)

    def _exchange(self, first: Daemon, second: Daemon) -> None:
        """Let two daemons learn each other's revision, occasionally seconds late."""
        max_delay = 3.0 if self.simulation.rng.random() < 0.05 else 0.05
        first.send_revision(second, self.simulation.rng.uniform(0.0, max_delay))
        second.send_revision(first, self.simulation.rng.uniform(0.0, max_delay))

    def _fault(self) -> None:
        if not self.is_over:
            self.simulation.rng.choice(self.kinds)()
            self.simulation.after(self.simulation.rng.uniform(*FAULT_SECONDS), self._fault)
