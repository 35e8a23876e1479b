"""Links between simulated nodes: delay, loss, duplication, reordering and one-way cuts."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from finchshed.consensus.messages import Envelope
from finchshed.proof.consensus.scheduler import Scheduler

Deliver: TypeAlias = Callable[[Envelope], None]

_EPSILON_SECONDS = 1e-6


@dataclass
class LinkQuality:
    """How links behave.

    Attributes
    ----------
    delay_min, delay_max
        Ordinary delay of a message, in seconds, one way.
    loss, duplication
        Chance that a message is lost, or comes twice.
    late, late_max
        Chance that a message is held up, and for how many seconds at most; later ones overtake it.
    """

    delay_min: float = 0.0005
    delay_max: float = 0.003
    loss: float = 0.0
    duplication: float = 0.0
    late: float = 0.0
    late_max: float = 1.0


@dataclass
class SimulatedNetwork:
    """Carries envelopes between addresses.

    Attributes
    ----------
    cuts
        Pairs of (sender, receiver) names between which everything is lost, without any sign.
    """

    scheduler: Scheduler
    rng: random.Random
    quality: LinkQuality = field(default_factory=LinkQuality)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    _receivers: dict[str, tuple[str, Deliver]] = field(default_factory=dict)

    def attach(self, name: str, address: str, deliver: Deliver) -> None:
        """Hand what is sent to ``address`` to ``deliver``."""
        self._receivers[address] = (name, deliver)

    def send(self, sender: str, address: str, envelope: Envelope) -> None:
        """Send an envelope; whether it arrives is up to the links."""
        receiver = self._receivers.get(address)
        if receiver is None:
            return
        name, deliver = receiver
        quality = self.quality
        if quality.loss and self.rng.random() < quality.loss:
            return
        copies = 2 if quality.duplication and self.rng.random() < quality.duplication else 1
        for _ in range(copies):
            self.scheduler.call_later(
                self._delay(),
                lambda: self._arrive(sender, name, deliver, envelope),
            )

    def cut(self, sender: str, receiver: str) -> None:
        """Lose what one sends to the other from now on, in this direction only."""
        self.cuts.add((sender, receiver))

    def isolate(self, name: str) -> None:
        """Cut a node off from all others, both ways."""
        for other, _deliver in self._receivers.values():
            if other != name:
                self.cut(name, other)
                self.cut(other, name)

    def split(self, one_side: set[str]) -> None:
        """Cut all links between two sides."""
        names = {name for name, _deliver in self._receivers.values()}
        for near in sorted(one_side):
            for far in sorted(names - one_side):
                self.cut(near, far)
                self.cut(far, near)

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def _delay(self) -> float:
        quality = self.quality
        delay = self.rng.uniform(quality.delay_min, quality.delay_max)
        if quality.late and self.rng.random() < quality.late:
            delay += self.rng.uniform(0.0, quality.late_max)
        return max(delay, _EPSILON_SECONDS)

    def _arrive(self, sender: str, receiver: str, deliver: Deliver, envelope: Envelope) -> None:
        if (sender, receiver) not in self.cuts:
            deliver(envelope)
