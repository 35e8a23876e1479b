"""Faults of a simulated distribution, drawn from its seed."""

from tests.simulation.distribution import ZONES, Daemon, World

CHANGE_SECONDS = (0.05, 1.5)
MEETING_SECONDS = 0.02
FAULT_SECONDS = (0.3, 2.5)
CUT_SECONDS = (0.5, 12.0)
SLOW_SECONDS = (0.2, 6.0)


class Faults:
    """Changes, meetings of daemons, and faults until :meth:`end`.

    Parameters
    ----------
    random_faults
        Whether faults are drawn from the seed; without, only what the test brings about happens.
    """

    def __init__(self, world: World, random_faults: bool = True) -> None:
        self.world = world
        self.is_over = False
        self.kinds = (
            self.cut_zone,
            self.cut_node,
            self.restart_daemon,
            self.restart_control,
            self.break_link,
            self.slow_reader,
        )
        world.accept()
        self._change()
        self._meet()
        if random_faults:
            self._fault()

    def end(self) -> None:
        """Bring no more faults about, end the cuts, and accept no more changes."""
        self.is_over = True
        self.world.cuts.zones.clear()
        self.world.cuts.nodes.clear()
        self._release()

    def cut_zone(self) -> None:
        """Cut a zone off from one or both others, for a while."""
        zone, *others = self.world.rng.sample(ZONES, len(ZONES))
        pairs = {frozenset((zone, other)) for other in others[: self.world.rng.randint(1, 2)]}
        self.world.cuts.zones |= pairs

        def heal() -> None:
            self.world.cuts.zones -= pairs
            self._release()

        self.world.after(self.world.rng.uniform(*CUT_SECONDS), heal)

    def cut_node(self) -> None:
        """Cut one node off from everyone, in silence, for a while."""
        node = self.world.rng.choice([*self.world.control, *self.world.daemons])
        self.world.cuts.nodes.add(node.name)

        def heal() -> None:
            self.world.cuts.nodes.discard(node.name)
            self._release()

        self.world.after(self.world.rng.uniform(*CUT_SECONDS), heal)

    def restart_daemon(self) -> None:
        """Crash a daemon; it is back at once."""
        self.world.rng.choice(self.world.daemons).restart()

    def restart_control(self) -> None:
        """Crash a control node; it is back at once."""
        self.world.rng.choice(self.world.control).restart()

    def break_link(self) -> None:
        """Break a daemon's connection to control."""
        link = self.world.rng.choice(self.world.daemons).link
        if link is not None:
            link.close()

    def slow_reader(self) -> None:
        """Have a daemon read nothing for a while, so that its buffer at control is full."""
        link = self.world.rng.choice(self.world.daemons).link
        if link is None:
            return
        link.control.set_full(link, True)
        pause = self.world.rng.uniform(*SLOW_SECONDS)
        self.world.after(pause, lambda: link.control.set_full(link, False))

    def _release(self) -> None:
        for daemon in self.world.daemons:
            if daemon.link is not None:
                daemon.link.release()

    def _change(self) -> None:
        if not self.is_over:
            self.world.accept()
            self.world.after(self.world.rng.uniform(*CHANGE_SECONDS), self._change)

    def _meet(self) -> None:
        first, second = self.world.rng.sample(self.world.daemons, 2)
        self._exchange(first, second)
        self.world.after(MEETING_SECONDS, self._meet)

    def _exchange(self, first: Daemon, second: Daemon) -> None:
        """Have two daemons hear each other's revision; now and then seconds late."""
        longest = 3.0 if self.world.rng.random() < 0.05 else 0.05
        first.meet(second, self.world.rng.uniform(0.0, longest))
        second.meet(first, self.world.rng.uniform(0.0, longest))

    def _fault(self) -> None:
        if not self.is_over:
            self.world.rng.choice(self.kinds)()
            self.world.after(self.world.rng.uniform(*FAULT_SECONDS), self._fault)
