"""Versioned configuration store, a deterministic state machine over the replicated log.

Every control node applies the same changes in the same order. Changes are atomic, and exactly one
of several changes based on the same revision is accepted. Results are retained so that a resend
with the same change ID returns the first result. A resend after the retention period is based on an
old revision and conflicts, so no change is applied twice.

Owns the resources, the revision and the retained results. Relies on the replicated log to apply
each change once and in order.
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
"""Number of results retained for resends, about a week at 1,400 changes per day."""

RETAINED_RESULT_BYTES = 16 << 20
"""Size of the retained results, after which the oldest go, however few they are."""

MAX_PROBLEMS_CHARACTERS = 4_096
"""Problems of an invalid change beyond this are counted, not listed."""

OPERATOR_KIND = "operator"

REPLACED_KINDS = frozenset(kind_of(kind) for kind in (Service, HostRoute, IngressLimits, Tenant))
"""Resource kinds that a change with ``is_whole`` replaces completely."""

BOOTSTRAP_OPERATOR = "bootstrap"
"""Operator name that may change a configuration without declared operators."""


class RetainedResult(msgspec.Struct, frozen=True, array_like=True):
    """First result of a change; ``digest`` distinguishes a resend from a reused change ID."""

    change_id: str
    digest: str
    result: ChangeResult


class Winner(msgspec.Struct, frozen=True, array_like=True):
    """Change and operator that created a revision."""

    change_id: str
    operator: str


class CommittedRevision(msgspec.Struct, frozen=True):
    """Effective puts and deletes of an accepted change."""

    revision: int
    puts: tuple[Resource, ...]
    deletes: tuple[ResourceKey, ...]


class StoreSnapshot(msgspec.Struct):
    """Complete state of a store."""

    revision: int
    resources: tuple[Resource, ...]
    results: list[RetainedResult]
    winners: dict[int, Winner]
    version: int = 0
    source: str = ""


def digest_of_change(change: Change) -> str:
    """Return the hexadecimal SHA-256 digest of ``change``."""
    return hashlib.sha256(msgspec.json.encode(change)).hexdigest()


class ConfigurationStore:
    """Resources under a single revision number.

    Parameters
    ----------
    result_retention
        Number of results and winners retained; must be equal on all control nodes.
    """

    def __init__(self, result_retention: int = RESULT_RETENTION) -> None:
        self._retention = result_retention
        self._results: dict[str, RetainedResult] = {}
        self._result_bytes = 0
        self._winners: dict[int, Winner] = {}
        self._operators: dict[str, Operator] | None = None
        self.resources: dict[ResourceKey, Resource] = {}
        self.revision = 0
        self.version = 0
        self.source = ""
        self.last_committed: CommittedRevision | None = None

    def apply(self, change: Change) -> ChangeResult:
        """Apply ``change``, or return the retained result if it is a resend.

        Sets :attr:`last_committed` to the committed puts and deletes, or None if nothing changed.
        """
        self.last_committed = None
        digest = digest_of_change(change)
        retained = self._results.get(change.change_id)
        if retained is not None:
            if retained.digest == digest:
                return retained.result
            return Invalid((f"change_id = {change.change_id!r}: used before by another change",))
        result = _shortened(self._apply_first(change))
        self._retain(RetainedResult(change.change_id, digest, result))
        return result

    def operators(self) -> dict[str, Operator]:
        """Return the declared operators by token digest."""
        if self._operators is None:
            found = (item for item in self.resources.values() if isinstance(item, Operator))
            self._operators = {operator.token_sha256: operator for operator in found}
        return self._operators

    def result_of(self, change_id: str) -> ChangeResult | None:
        """Return the first result of ``change_id``, or None if it isn't retained."""
        retained = self._results.get(change_id)
        return None if retained is None else retained.result

    def winner_of(self, revision: int) -> Winner | None:
        """Return the change and operator that created ``revision``, or None if not retained."""
        return self._winners.get(revision)

    def snapshot(self) -> StoreSnapshot:
        """Return the complete state."""
        return StoreSnapshot(
            revision=self.revision,
            resources=tuple(self.resources.values()),
            results=list(self._results.values()),
            winners=dict(self._winners),
            version=self.version,
            source=self.source,
        )

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Replace the complete state by ``snapshot``."""
        self.revision = snapshot.revision
        self.resources = {key_of(resource): resource for resource in snapshot.resources}
        self._results = {retained.change_id: retained for retained in snapshot.results}
        self._result_bytes = sum(map(_size_of_result, snapshot.results))
        self._operators = None
        self.version = snapshot.version
        self.source = snapshot.source
        self._winners = dict(snapshot.winners)
        self.last_committed = None

    def _apply_first(self, change: Change) -> ChangeResult:
        if not self._is_based_on_latest(change):
            return self._conflict(change)
        change = self._reduce_to_difference(change)
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

    def _is_based_on_latest(self, change: Change) -> bool:
        if change.version:
            return change.base_version == self.version
        return change.expected_revision == self.revision

    def _reduce_to_difference(self, change: Change) -> Change:
        """Reduce a change with ``is_whole`` to its effective puts and deletes."""
        if not change.is_whole:
            return change
        put_keys = {key_of(resource) for resource in change.puts}
        absent = [
            key for key in self.resources if key.kind in REPLACED_KINDS and key not in put_keys
        ]
        puts = [item for item in change.puts if self.resources.get(key_of(item)) != item]
        # Keep all puts if keys repeat, so that the duplicate check reports them.
        if len(put_keys) < len(change.puts):
            puts = list(change.puts)
        deletes = (*change.deletes, *absent)
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
        self._result_bytes += _size_of_result(retained)
        while len(self._results) > self._retention or self._result_bytes > RETAINED_RESULT_BYTES:
            oldest = self._results.pop(next(iter(self._results)))
            self._result_bytes -= _size_of_result(oldest)


def _size_of_result(retained: RetainedResult) -> int:
    """Return about how much memory a result takes, in bytes."""
    return len(msgspec.json.encode(retained))


def _shortened(result: ChangeResult) -> ChangeResult:
    """Limit the problems of an invalid change, whose number and length its author chooses."""
    if not isinstance(result, Invalid):
        return result
    listed: list[str] = []
    room = MAX_PROBLEMS_CHARACTERS
    for problem in result.problems:
        if len(problem) > room:
            left_out = len(result.problems) - len(listed) - 1
            listed.append(f"{problem[:room]}… ({left_out} further problems)")
            break
        room -= len(problem)
        listed.append(problem)
    return Invalid(tuple(listed))


def _deletes_operators(change: Change) -> bool:
    return any(key.kind == OPERATOR_KIND for key in change.deletes)


def _has_operator(resources: dict[ResourceKey, Resource]) -> bool:
    return any(isinstance(resource, Operator) for resource in resources.values())
