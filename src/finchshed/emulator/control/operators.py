"""Emulated operators: they change the configuration through any control node.

Like ``finchshed ctl``, an operator that gets no answer in time sends the same change again, under
the same identity, to another control node.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from finchshed.configuration.changes import Accepted, Change, ChangeResult, Conflict, Invalid
from finchshed.control.state.commands import ApplyChange, CommandResult
from finchshed.emulator.control.node import REQUEST_SECONDS, SimulatedControlNode
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.network import Site
from finchshed.emulator.simulation import Simulation
from finchshed.proof.history import ChangeAnswered, ChangeSubmitted

ANSWER_SECONDS: Final = 6.0
"""Longest wait for an answer, seconds; chosen, not measured."""
PAUSE_SECONDS: Final = 0.2
"""Wait before a change is sent again, seconds; chosen, not measured."""
MAX_TRIES: Final = 8
"""Times a change is sent at most; chosen, not measured."""

OnChange = Callable[[ChangeResult | None], None]


@dataclass(slots=True, eq=False)
class _Submission:
    change: Change
    done: OnChange
    tries: int = 0
    ended: bool = False


class SimulatedOperator(Process):
    """One operator's client.

    Parameters
    ----------
    first_node
        Index of the control node it asks first.
    """

    def __init__(
        self,
        simulation: Simulation,
        site: Site,
        nodes: tuple[SimulatedControlNode, ...],
        first_node: int,
    ) -> None:
        super().__init__(simulation, site)
        self._nodes = nodes
        self._next_node = first_node

    def submit(self, change: Change, done: OnChange) -> None:
        """Send a change until it is answered; ``done`` gets None if it never is."""
        submission = _Submission(change, done)
        self._try(submission)

    def _try(self, submission: _Submission) -> None:
        submission.tries += 1
        number = submission.tries
        change = submission.change
        self.simulation.recorder.note(
            ChangeSubmitted(self.now, change.change_id, change.operator, change.expected_revision)
        )
        node = self._nodes[self._next_node % len(self._nodes)]
        self._next_node += 1

        def answered(result: CommandResult | None) -> None:
            if not submission.ended and submission.tries == number:
                self._answered(submission, result)

        def take() -> None:
            node.proposals.propose(
                ApplyChange(change),
                REQUEST_SECONDS,
                lambda result: node.send(self, answered, result),
            )

        if node.up:
            self.send(node, take, generation=node.generation)
        self.call_later(ANSWER_SECONDS, answered, None)

    def _answered(self, submission: _Submission, result: CommandResult | None) -> None:
        change_id = submission.change.change_id
        note = self.simulation.recorder.note
        if isinstance(result, Accepted | Conflict | Invalid):
            submission.ended = True
            note(_answer_of(self.now, change_id, result))
            submission.done(result)
            return
        note(ChangeAnswered(self.now, change_id, "unknown"))
        if submission.tries >= MAX_TRIES:
            submission.ended = True
            submission.done(None)
            return
        submission.tries += 1
        self.call_later(PAUSE_SECONDS, self._try, submission)


def _answer_of(time: float, change_id: str, result: ChangeResult) -> ChangeAnswered:
    if isinstance(result, Accepted):
        return ChangeAnswered(time, change_id, "accepted", result.revision)
    if isinstance(result, Conflict):
        return ChangeAnswered(time, change_id, "conflict")
    return ChangeAnswered(time, change_id, "invalid")
