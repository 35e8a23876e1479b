"""Compares the configuration at the end of a run with the changes that operators had accepted.

The control nodes must still be running when the final configuration is read.
"""

import asyncio
import time
from collections.abc import Iterable, Sequence
from typing import cast

import msgspec

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.resources import Policy
from finchshed.ctl.changes import read_configuration
from finchshed.ctl.client import OperatorClient
from finchshed.fleet.observer import FleetObserver
from finchshed.fleet.plan import FleetPlan
from finchshed.standins.operator import POLICY_KEY, OperatorRecord, StandinChangeOutcome

READ_TIMEOUT_SECONDS = 5.0
"""Timeout of one request to the control nodes."""

POLL_SECONDS = 0.25
"""Matches the interval at which the observer reads revisions."""


class FinalConfiguration(msgspec.Struct, frozen=True):
    """Revision in force and the policy value that operators change."""

    revision: int
    value: float


def read_final(plan: FleetPlan) -> FinalConfiguration | None:
    """Read the configuration in force; return None if no control node responds."""
    client = OperatorClient(
        plan.rpc_addresses, plan.deployment.operator_token, READ_TIMEOUT_SECONDS
    )
    try:
        current = read_configuration(client)
    except ControlUnavailableError:
        return None
    finally:
        client.close()
    policy = cast(Policy, current.resources[POLICY_KEY])
    return FinalConfiguration(current.revision, policy.key_window_seconds)


async def wait_for_revision(
    observer: FleetObserver, revision: int, timeout_seconds: float
) -> list[str]:
    """Wait until every daemon has ``revision``; return a line for each one that is late."""
    deadline = time.monotonic() + timeout_seconds
    while True:
        outdated = [
            name for name, applied in sorted(observer.revisions.items()) if applied != revision
        ]
        if not outdated or time.monotonic() >= deadline:
            return [f"{name} acts on {observer.revisions[name]}" for name in outdated]
        await asyncio.sleep(POLL_SECONDS)


def find_configuration_problems(
    final: FinalConfiguration | None, records: Iterable[OperatorRecord], first_revision: int
) -> list[str]:
    """Return a line for each accepted change that was lost, duplicated or reverted.

    Parameters
    ----------
    first_revision
        Revision of the declarations, accepted before the operators started.
    """
    records = list(records)
    accepted = [record for record in records if record.outcome is StandinChangeOutcome.ACCEPTED]
    problems = _find_duplicate_revisions(accepted)
    if final is None:
        return [*problems, "no control node says what is in force"]
    highest = max((record.revision for record in accepted), default=first_revision)
    if final.revision < highest:
        problems.append(f"revision {final.revision} is in force, {highest} was accepted")
    allowed = _allowed_values(records, final.revision, highest)
    if allowed and final.value not in allowed:
        problems.append(f"value {final.value:g} is in force, accepted was {sorted(allowed)}")
    return problems


def _find_duplicate_revisions(accepted: Sequence[OperatorRecord]) -> list[str]:
    by_revision: dict[int, str] = {}
    problems = []
    for record in accepted:
        other = by_revision.setdefault(record.revision, record.change_id)
        if other != record.change_id:
            problems.append(
                f"revision {record.revision}: told to both {other} and {record.change_id}"
            )
    return problems


def _allowed_values(
    records: Iterable[OperatorRecord], in_force: int, highest_accepted: int
) -> set[float]:
    """Return the values that may be in force; empty if no change qualifies."""
    wanted = (
        StandinChangeOutcome.ACCEPTED
        if in_force == highest_accepted
        else StandinChangeOutcome.UNKNOWN
    )
    return {
        record.value
        for record in records
        if record.outcome is wanted
        and (wanted is StandinChangeOutcome.UNKNOWN or record.revision == in_force)
    }
