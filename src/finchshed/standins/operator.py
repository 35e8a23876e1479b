"""Simulated operator: submits configuration changes one after another and records the results.

Each change sets the policy's key window to a distinct value, so the value in force identifies the
change that set it. A change without a response is resubmitted with the same change ID.
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

POLICY_KEY = ResourceKey("policy", "default")
REQUEST_TIMEOUT_SECONDS = 5.0
"""Timeout of one request to the control nodes."""

BASE_VALUE_SECONDS = 600.0
"""Key window set by change 0; change N sets this plus N seconds."""

CHANGE_TIMEOUT_SECONDS = 60.0
"""How long the operator tries to get a change accepted."""


class StandinChangeOutcome(enum.StrEnum):
    """Outcome of a submitted change as known to the operator."""

    SUBMITTED = "submitted"
    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class OperatorRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A submission of a change, or its result.

    Attributes
    ----------
    value
        Key window that the change sets, in seconds.
    """

    at: float
    operator: str
    change_id: str
    expected_revision: int
    value: float
    outcome: StandinChangeOutcome
    revision: int = 0


class _PendingChange(msgspec.Struct, frozen=True):
    change_id: str
    expected: int
    policy: Policy
    value: float


class StandinOperator:
    """Submits the changes of one simulated operator."""

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings
        self._records = RecordWriter(settings.record_path)
        self._client = OperatorClient(
            settings.rpc_addresses, settings.token, REQUEST_TIMEOUT_SECONDS
        )

    def run(self) -> int:
        """Submit all changes; return 1 if any was not accepted, else 0."""
        not_accepted = 0
        for number in range(self._settings.changes):
            if self._settings.pause_seconds:
                time.sleep(self._settings.pause_seconds)
            not_accepted += not self._change(self._settings.first_number + number)
        self._client.close()
        return 1 if not_accepted else 0

    def _change(self, number: int) -> bool:
        """Submit one change, retrying after conflicts; return whether it was accepted."""
        deadline = monotonic() + CHANGE_TIMEOUT_SECONDS
        attempt = 0
        while monotonic() < deadline:
            attempt += 1
            change_id = f"{self._settings.name}-{number}-{attempt}"
            outcome = self._submit(change_id, number, deadline)
            if outcome is not StandinChangeOutcome.CONFLICT:
                return outcome is StandinChangeOutcome.ACCEPTED
        return False

    def _submit(self, change_id: str, number: int, deadline: float) -> StandinChangeOutcome:
        current = self._read_current(deadline)
        if current is None:
            return StandinChangeOutcome.UNKNOWN
        value = BASE_VALUE_SECONDS + number
        return self._send(_PendingChange(change_id, current[0], current[1], value), deadline)

    def _send(self, change: "_PendingChange", deadline: float) -> StandinChangeOutcome:
        """Send a change until a control node responds; return the outcome."""
        policy = msgspec.structs.replace(change.policy, key_window_seconds=change.value)
        changed = Difference((policy,), ())
        self._record(change, StandinChangeOutcome.SUBMITTED, 0)
        while monotonic() < deadline:
            try:
                result = submit_change(self._client, change.change_id, change.expected, changed)
            except ControlUnavailableError:
                continue
            outcome, accepted = _outcome_of(result)
            self._record(change, outcome, accepted)
            return outcome
        self._record(change, StandinChangeOutcome.UNKNOWN, 0)
        return StandinChangeOutcome.UNKNOWN

    def _read_current(self, deadline: float) -> tuple[int, Policy] | None:
        while monotonic() < deadline:
            try:
                current = read_configuration(self._client)
            except ControlUnavailableError:
                continue
            return current.revision, cast(Policy, current.resources[POLICY_KEY])
        return None

    def _record(
        self, change: "_PendingChange", outcome: StandinChangeOutcome, revision: int
    ) -> None:
        self._records.write(
            OperatorRecord(
                at=monotonic(),
                operator=self._settings.name,
                change_id=change.change_id,
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
    """Submit the changes of ``settings``; return 1 if any was not accepted, else 0."""
    return StandinOperator(settings).run()
