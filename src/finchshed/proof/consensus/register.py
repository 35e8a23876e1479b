"""The application of the simulated group: a register changed by compare-and-set.

It is the smallest state that shows the promises of the configuration: a change names the revision
it builds on, of racing changes one wins, and a resend gets the first answer.
"""

import msgspec


class Change(msgspec.Struct, frozen=True):
    """Set the register if its revision is ``expected_revision``. Resends keep ``change_id``."""

    change_id: str
    expected_revision: int


class ChangeResult(msgspec.Struct, frozen=True):
    """Whether the change won, and the revision and last winner after it."""

    is_accepted: bool
    revision: int
    winner: str


class Reading(msgspec.Struct, frozen=True):
    """What a read returned."""

    revision: int
    winner: str


class RegisterState(msgspec.Struct):
    """All of the state: the winner of each revision, and the first answer to each change."""

    winners: list[str] = msgspec.field(default_factory=list)
    answers: dict[str, ChangeResult] = msgspec.field(default_factory=dict)


class Register:
    """The state machine."""

    def __init__(self) -> None:
        self._state = RegisterState()
        self.applied_index = 0

    @property
    def winners(self) -> list[str]:
        """Identities of the accepted changes, by revision from 1 on."""
        return self._state.winners

    def apply(self, index: int, data: bytes) -> ChangeResult:
        """Apply a committed change."""
        self.applied_index = index
        change = msgspec.json.decode(data, type=Change)
        earlier = self._state.answers.get(change.change_id)
        if earlier is not None:
            return earlier
        is_accepted = change.expected_revision == len(self._state.winners)
        if is_accepted:
            self._state.winners.append(change.change_id)
        reading = self.read()
        result = ChangeResult(is_accepted, reading.revision, reading.winner)
        self._state.answers[change.change_id] = result
        return result

    def read(self) -> Reading:
        """Return the present revision and who made it."""
        winners = self._state.winners
        return Reading(len(winners), winners[-1] if winners else "")

    def snapshot(self) -> bytes:
        """Return the state."""
        return msgspec.json.encode(self._state)

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state."""
        self.applied_index = index
        self._state = msgspec.json.decode(data, type=RegisterState)
