"""The versioned configuration as a pure state machine.

Every control node applies the same changes in the same order. A change is accepted whole or not
at all; of changes made against one revision exactly one is accepted. Results are retained, so a
resend under the same change identity gets the first result; past the retention a resend is a
change against an old revision and gets a conflict, so it is never applied twice.

Owns the resources, the revision and the results of earlier changes. Relies on the replicated log to
apply each change once, in order.
"""

import hashlib

import msgspec

from finchshed.configuration.changes import Accepted, Change, ChangeResult, Conflict, Invalid
from finchshed.configuration.resources import (
    HostRoute,
    IngressLimits,
    Operator,
    Resource,
    ResourceKey,
    Service,
    Tenant,
    key_of,
    kind_of,
)
from finchshed.configuration.validation import duplicate_keys, keeps_sound, problems_of

RESULT_RETENTION = 10_000
"""Results kept for resends: about a week of changes at 1,400 a day."""

OPERATOR_KIND = "operator"

REPLACED_KINDS = frozenset(kind_of(kind) for kind in (Service, HostRoute, IngressLimits, Tenant))
"""Kinds that a change with the whole configuration gives all resources of."""

BOOTSTRAP_OPERATOR = "bootstrap"
"""Name of the operator who may change a configuration that declares no operator yet."""


class RetainedResult(msgspec.Struct, frozen=True, array_like=True):
    """The first result of a change. ``digest`` tells a resend from another change."""

    change_id: str
    digest: str
    result: ChangeResult


class Winner(msgspec.Struct, frozen=True, array_like=True):
    """Who made a revision."""

    change_id: str
    operator: str


class CommittedRevision(msgspec.Struct, frozen=True):
    """What an accepted change made different."""

    revision: int
    puts: tuple[Resource, ...]
    deletes: tuple[ResourceKey, ...]


class StoreSnapshot(msgspec.Struct):
    """Everything a store holds."""

    revision: int
    resources: tuple[Resource, ...]
    results: list[RetainedResult]
    winners: dict[int, Winner]
    version: int = 0
    source: str = ""


def digest_of_change(change: Change) -> str:
    """Return the SHA-256 of ``change``, hexadecimal."""
    return hashlib.sha256(msgspec.json.encode(change)).hexdigest()


class ConfigurationStore:
    """Resources with one revision number for the whole configuration.

    Parameters
    ----------
    result_retention
        Results and winners kept for resends; equal on every control node.
    """

    def __init__(self, result_retention: int = RESULT_RETENTION) -> None:
        self._retention = result_retention
        self._results: dict[str, RetainedResult] = {}
        self._winners: dict[int, Winner] = {}
        self._operators: dict[str, Operator] | None = None
        self.resources: dict[ResourceKey, Resource] = {}
        self.revision = 0
        self.version = 0
        self.source = ""
        self.last_committed: CommittedRevision | None = None

    def apply(self, change: Change) -> ChangeResult:
        """Apply ``change``, or return the first result of an earlier one of its identity.

        :attr:`last_committed` is set to what became different, or None when nothing did.
        """
        self.last_committed = None
        digest = digest_of_change(change)
        retained = self._results.get(change.change_id)
        if retained is not None:
            if retained.digest == digest:
                return retained.result
            return Invalid((f"change_id = {change.change_id!r}: used before by another change",))
        result = self._apply_first(change)
        self._retain(RetainedResult(change.change_id, digest, result))
        return result

    def operators(self) -> dict[str, Operator]:
        """Return the declared operators by the digest of their token."""
        if self._operators is None:
            found = (item for item in self.resources.values() if isinstance(item, Operator))
            self._operators = {operator.token_sha256: operator for operator in found}
        return self._operators

    def result_of(self, change_id: str) -> ChangeResult | None:
        """Return the first result of ``change_id``, when still retained."""
        retained = self._results.get(change_id)
        return None if retained is None else retained.result

    def winner_of(self, revision: int) -> Winner | None:
        """Return who made ``revision``, when still retained."""
        return self._winners.get(revision)

    def snapshot(self) -> StoreSnapshot:
        """Return everything held."""
        return StoreSnapshot(
            revision=self.revision,
            resources=tuple(self.resources.values()),
            results=list(self._results.values()),
            winners=dict(self._winners),
            version=self.version,
            source=self.source,
        )

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Replace everything held by ``snapshot``."""
        self.revision = snapshot.revision
        self.resources = {key_of(resource): resource for resource in snapshot.resources}
        self._results = {retained.change_id: retained for retained in snapshot.results}
        self._operators = None
        self.version = snapshot.version
        self.source = snapshot.source
        self._winners = dict(snapshot.winners)
        self.last_committed = None

    def _apply_first(self, change: Change) -> ChangeResult:
        if not self._builds_on_latest(change):
            return self._conflict(change)
        change = self._as_difference(change)
        problems = self._problems(change)
        if problems:
            return Invalid(tuple(problems))
        candidate = self._candidate(change)
        if not keeps_sound(candidate, change.puts, change.deletes):
            problems = problems_of(candidate)
        if _deletes_operators(change) and not _has_operator(candidate):
            problems.append("operator: none would be left, allowed is 1 or more")
        if problems:
            return Invalid(tuple(problems))
        self._commit(change, candidate)
        return Accepted(self.revision)

    def _builds_on_latest(self, change: Change) -> bool:
        if change.version:
            return change.base_version == self.version
        return change.expected_revision == self.revision

    def _as_difference(self, change: Change) -> Change:
        """Return a change that gives the whole configuration as what it makes different."""
        if not change.is_whole:
            return change
        given = {key_of(resource) for resource in change.puts}
        missing = [key for key in self.resources if key.kind in REPLACED_KINDS and key not in given]
        puts = [item for item in change.puts if self.resources.get(key_of(item)) != item]
        # Two different resources of one key are left for the check of duplicates.
        if len(given) < len(change.puts):
            puts = list(change.puts)
        deletes = (*change.deletes, *missing)
        return msgspec.structs.replace(change, puts=tuple(puts), deletes=deletes)

    def _conflict(self, change: Change) -> Conflict:
        winner = self._winners.get(change.expected_revision + 1)
        if winner is None:
            winner = self._winners.get(self.revision, Winner("", ""))
        return Conflict(
            current_revision=self.revision,
            winner_change_id=winner.change_id,
            winner_operator=winner.operator,
        )

    def _problems(self, change: Change) -> list[str]:
        problems = []
        if change.version and change.version <= self.version:
            problems.append(f"version = {change.version}: allowed are those above {self.version}")
        if not self._may_change(change.operator):
            problems.append(f"operator = {change.operator!r}: allowed are declared operators")
        for key in duplicate_keys(change.puts):
            problems.append(f"{key.kind}/{key.name}: put more than once, allowed once")
        for key in change.deletes:
            if key not in self.resources:
                problems.append(f"{key.kind}/{key.name}: deleted, and doesn't exist")
        return problems

    def _may_change(self, operator: str) -> bool:
        names = {declared.name for declared in self.operators().values()}
        if not names:
            return operator == BOOTSTRAP_OPERATOR
        return operator in names

    def _candidate(self, change: Change) -> dict[ResourceKey, Resource]:
        candidate = dict(self.resources)
        for key in change.deletes:
            candidate.pop(key, None)
        for resource in change.puts:
            candidate[key_of(resource)] = resource
        return candidate

    def _commit(self, change: Change, candidate: dict[ResourceKey, Resource]) -> None:
        put_keys = {key_of(resource) for resource in change.puts}
        deletes = tuple(key for key in change.deletes if key not in put_keys)
        self.revision += 1
        self.resources = candidate
        if change.version:
            self.version = change.version
            self.source = change.source
        if _deletes_operators(change) or any(isinstance(put, Operator) for put in change.puts):
            self._operators = None
        self._winners[self.revision] = Winner(change.change_id, change.operator)
        self._winners.pop(self.revision - self._retention, None)
        self.last_committed = CommittedRevision(self.revision, change.puts, deletes)

    def _retain(self, retained: RetainedResult) -> None:
        self._results[retained.change_id] = retained
        while len(self._results) > self._retention:
            self._results.pop(next(iter(self._results)))


def _deletes_operators(change: Change) -> bool:
    return any(key.kind == OPERATOR_KIND for key in change.deletes)


def _has_operator(resources: dict[ResourceKey, Resource]) -> bool:
    return any(isinstance(resource, Operator) for resource in resources.values())
