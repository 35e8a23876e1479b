"""Stand-in operator: makes changes one after another and records the answers.

Each change sets the policy's key window to a value of its own, so that the configuration in
force tells which accepted change it came from. A change whose answer is lost is sent again under
the same identity until it is answered.
"""

import enum
import time
from typing import cast

import msgspec

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.changes import Accepted, Conflict
from finchshed.configuration.difference import Difference
from finchshed.configuration.resources import Policy, ResourceKey
from finchshed.ctl.changes import read_configuration, submit_change
from finchshed.ctl.client import OperatorClient
from finchshed.standins.records import RecordWriter, monotonic
from finchshed.standins.settings import OperatorSettings

POLICY = ResourceKey("policy", "default")
REQUEST_SECONDS = 5.0
"""How long one request to the control nodes may take; chosen, not measured."""

BASE_VALUE_SECONDS = 600.0
"""A change's number is added to this to get the key window it sets."""

PATIENCE_SECONDS = 60.0
"""A change not answered for so long is given up; chosen, not measured."""


class StandinChangeOutcome(enum.StrEnum):
    """What a stand-in operator knows of a change that it submitted."""

    SUBMITTED = "submitted"
    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class OperatorRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One submission of a change, or its answer.

    Attributes
    ----------
    value
        The key window that the change sets, seconds.
    """

    at: float
    operator: str
    change_id: str
    expected_revision: int
    value: float
    outcome: StandinChangeOutcome
    revision: int = 0


class _ChangeToMake(msgspec.Struct, frozen=True):
    identity: str
    expected: int
    policy: Policy
    value: float


class StandinOperator:
    """Makes the changes of one stand-in operator."""

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings
        self._records = RecordWriter(settings.record_path)
        self._client = OperatorClient(settings.rpc_addresses, settings.token, REQUEST_SECONDS)

    def run(self) -> int:
        """Make all changes; return the exit code: 1 if one was never answered."""
        unanswered = 0
        for number in range(self._settings.changes):
            if self._settings.pause_seconds:
                time.sleep(self._settings.pause_seconds)
            unanswered += not self._change(self._settings.first_number + number)
        self._client.close()
        return 1 if unanswered else 0

    def _change(self, number: int) -> bool:
        """Make one change, anew after each conflict; return whether it was accepted."""
        deadline = monotonic() + PATIENCE_SECONDS
        attempt = 0
        while monotonic() < deadline:
            attempt += 1
            identity = f"{self._settings.name}-{number}-{attempt}"
            outcome = self._submit(identity, number, deadline)
            if outcome is not StandinChangeOutcome.CONFLICT:
                return outcome is StandinChangeOutcome.ACCEPTED
        return False

    def _submit(self, identity: str, number: int, deadline: float) -> StandinChangeOutcome:
        held = self._revision(deadline)
        if held is None:
            return StandinChangeOutcome.UNKNOWN
        value = BASE_VALUE_SECONDS + number
        return self._send(_ChangeToMake(identity, held[0], held[1], value), deadline)

    def _send(self, change: "_ChangeToMake", deadline: float) -> StandinChangeOutcome:
        """Send a change until it is answered; return the answer."""
        policy = msgspec.structs.replace(change.policy, key_window_seconds=change.value)
        changed = Difference((policy,), ())
        self._note(change, StandinChangeOutcome.SUBMITTED, 0)
        while monotonic() < deadline:
            try:
                result = submit_change(self._client, change.identity, change.expected, changed)
            except ControlUnavailableError:
                continue
            outcome, accepted = _outcome_of(result)
            self._note(change, outcome, accepted)
            return outcome
        self._note(change, StandinChangeOutcome.UNKNOWN, 0)
        return StandinChangeOutcome.UNKNOWN

    def _revision(self, deadline: float) -> tuple[int, Policy] | None:
        while monotonic() < deadline:
            try:
                current = read_configuration(self._client)
            except ControlUnavailableError:
                continue
            return current.revision, cast(Policy, current.resources[POLICY])
        return None

    def _note(self, change: "_ChangeToMake", outcome: StandinChangeOutcome, revision: int) -> None:
        self._records.write(
            OperatorRecord(
                at=monotonic(),
                operator=self._settings.name,
                change_id=change.identity,
                expected_revision=change.expected,
                value=change.value,
                outcome=outcome,
                revision=revision,
            )
        )


def _outcome_of(result: object) -> tuple[StandinChangeOutcome, int]:
    if isinstance(result, Accepted):
        return StandinChangeOutcome.ACCEPTED, result.revision
    if isinstance(result, Conflict):
        return StandinChangeOutcome.CONFLICT, 0
    return StandinChangeOutcome.INVALID, 0


def run_operator(settings: OperatorSettings) -> int:
    """Make the changes of ``settings``; return the exit code: 1 if one was never answered."""
    return StandinOperator(settings).run()
