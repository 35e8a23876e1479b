"""Compares the configuration a run ends with to the changes its operators got accepted.

Relies on the operators' records and on control nodes that still run.
"""

import asyncio
import time
from collections.abc import Iterable, Sequence
from typing import cast

import msgspec

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.resources import Policy
from finchshed.ctl.changes import read_in_force
from finchshed.ctl.client import OperatorClient
from finchshed.fleet.observer import FleetObserver
from finchshed.fleet.plan import FleetPlan
from finchshed.standins.operator import POLICY_KEY, OperatorRecord, StandinChangeOutcome

READ_TIMEOUT_SECONDS = 5.0
"""How long a control node may take to answer; chosen, not measured."""

POLL_SECONDS = 0.25
"""Between two looks at the revisions; as often as the observer reads them."""


class FinalConfiguration(msgspec.Struct, frozen=True):
    """What control nodes say is in force, and the policy value operators change."""

    revision: int
    value: float


def read_final(plan: FleetPlan) -> FinalConfiguration | None:
    """Read the configuration in force from the control nodes; None if none answers."""
    client = OperatorClient(
        plan.rpc_addresses, plan.deployment.operator_token, READ_TIMEOUT_SECONDS
    )
    try:
        current = read_in_force(client)
    except ControlUnavailableError:
        return None
    finally:
        client.close()
    policy = cast(Policy, current.resources[POLICY_KEY])
    return FinalConfiguration(current.revision, policy.key_window_seconds)


async def behind_after(observer: FleetObserver, revision: int, timeout_seconds: float) -> list[str]:
    """Wait until every daemon has ``revision``; return those that don't in time."""
    deadline = time.monotonic() + timeout_seconds
    while True:
        behind = [name for name, seen in sorted(observer.revisions.items()) if seen != revision]
        if not behind or time.monotonic() >= deadline:
            return [f"{name} acts on {observer.revisions[name]}" for name in behind]
        await asyncio.sleep(POLL_SECONDS)


def problems_of(
    final: FinalConfiguration | None, records: Iterable[OperatorRecord], first_revision: int
) -> list[str]:
    """Return a line for each accepted change that was lost, doubled or reverted.

    Parameters
    ----------
    first_revision
        Revision of the declarations, accepted before the operators began.
    """
    records = list(records)
    accepted = [record for record in records if record.outcome is StandinChangeOutcome.ACCEPTED]
    problems = _doubled(accepted)
    if final is None:
        return [*problems, "no control node says what is in force"]
    highest = max((record.revision for record in accepted), default=first_revision)
    if final.revision < highest:
        problems.append(f"revision {final.revision} is in force, {highest} was accepted")
    allowed = _values_of(records, final.revision, highest)
    if allowed and final.value not in allowed:
        problems.append(f"value {final.value:g} is in force, accepted was {sorted(allowed)}")
    return problems


def _doubled(accepted: Sequence[OperatorRecord]) -> list[str]:
    by_revision: dict[int, str] = {}
    problems = []
    for record in accepted:
        other = by_revision.setdefault(record.revision, record.change_id)
        if other != record.change_id:
            problems.append(
                f"revision {record.revision}: told to both {other} and {record.change_id}"
            )
    return problems


def _values_of(
    records: Iterable[OperatorRecord], in_force: int, highest_accepted: int
) -> set[float]:
    """Return the values that may be in force; empty if none was accepted."""
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
