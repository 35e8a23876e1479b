"""Emulated operators, which change the configuration through any control node.

Like ``finchshed ctl``, an operator retries a change that timed out, with the same identity, on
another control node.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from finchshed.configuration.changes import Accepted, Change, ChangeResult, Conflict, Invalid
from finchshed.control.state.commands import ApplyChange, CommandResult
from finchshed.emulator.control.node import REQUEST_TIMEOUT_SECONDS, SimulatedControlNode
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.network import Site
from finchshed.emulator.simulation import Simulation
from finchshed.proof.history import ChangeAnswered, ChangeSubmitted

ANSWER_TIMEOUT_SECONDS: Final = 6.0
"""Timeout of one attempt."""
RETRY_DELAY_SECONDS: Final = 0.2
"""Delay before a change is retried."""
MAX_ATTEMPTS: Final = 8
"""Limit of ``_Submission.attempts``, which each retry advances by two."""

OnChange = Callable[[ChangeResult | None], None]


@dataclass(slots=True, eq=False)
class _Submission:
    change: Change
    done: OnChange
    attempts: int = 0
    ended: bool = False


class SimulatedOperator(Process):
    """The client of one operator.

    Parameters
    ----------
    first_node
        Index of the control node for the first attempt.
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
        """Submit a change with retries; ``done`` receives None if every attempt fails."""
        submission = _Submission(change, done)
        self._attempt(submission)

    def _attempt(self, submission: _Submission) -> None:
        submission.attempts += 1
        attempt_number = submission.attempts
        change = submission.change
        self.simulation.recorder.record(
            ChangeSubmitted(self.now, change.change_id, change.operator, change.expected_revision)
        )
        node = self._nodes[self._next_node % len(self._nodes)]
        self._next_node += 1

        def answered(result: CommandResult | None) -> None:
            if not submission.ended and submission.attempts == attempt_number:
                self._answered(submission, result)

        def propose() -> None:
            node.proposals.propose(
                ApplyChange(change),
                REQUEST_TIMEOUT_SECONDS,
                lambda result: node.send(self, answered, result),
            )

        if node.up:
            self.send(node, propose, generation=node.generation)
        self.call_later(ANSWER_TIMEOUT_SECONDS, answered, None)

    def _answered(self, submission: _Submission, result: CommandResult | None) -> None:
        change_id = submission.change.change_id
        note = self.simulation.recorder.record
        if isinstance(result, Accepted | Conflict | Invalid):
            submission.ended = True
            note(_answer_of(self.now, change_id, result))
            submission.done(result)
            return
        note(ChangeAnswered(self.now, change_id, "unknown"))
        if submission.attempts >= MAX_ATTEMPTS:
            submission.ended = True
            submission.done(None)
            return
        submission.attempts += 1
        self.call_later(RETRY_DELAY_SECONDS, self._attempt, submission)


def _answer_of(time: float, change_id: str, result: ChangeResult) -> ChangeAnswered:
    if isinstance(result, Accepted):
        return ChangeAnswered(time, change_id, "accepted", result.revision)
    if isinstance(result, Conflict):
        return ChangeAnswered(time, change_id, "conflict")
    return ChangeAnswered(time, change_id, "invalid")
