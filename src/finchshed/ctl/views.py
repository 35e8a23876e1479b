"""Structures that ``finchshed ctl`` prints with ``--json``."""

import msgspec

from finchshed.configuration.changes import ChangeResult
from finchshed.configuration.resources import Resource, ResourceKey


class DifferenceView(msgspec.Struct, frozen=True):
    """Result of ``diff``."""

    revision: int
    puts: tuple[Resource, ...]
    deletes: tuple[ResourceKey, ...]


class ApplyView(msgspec.Struct, frozen=True):
    """Result of ``apply``, ``drain``, ``undrain``; ``result`` is None if nothing had to change."""

    change_id: str
    result: ChangeResult | None


class ConfigurationView(msgspec.Struct, frozen=True):
    """Result of ``get``, or an event of ``watch``; ``base`` 0 means the whole configuration."""

    revision: int
    resources: tuple[Resource, ...]
    base: int = 0
    deletes: tuple[ResourceKey, ...] = ()


class DaemonView(msgspec.Struct, frozen=True):
    """A daemon in ``status`` that has been behind or silent for ``seconds``."""

    node: str
    endpoint: str
    service: str
    zone: str
    state: str
    revision: int
    seconds: float


class LedgerView(msgspec.Struct, frozen=True):
    """Number of keys by state in the at-most-once ledger of the control group."""

    free: int
    begun: int
    completed: int
    answer_bytes: int


class StatusView(msgspec.Struct, frozen=True):
    """Result of ``status``."""

    revision: int
    leader: str
    confirmed: bool
    in_force: int
    known: int
    ledger: LedgerView
    daemons: tuple[DaemonView, ...]
    unreachable: tuple[str, ...]


class MemberView(msgspec.Struct, frozen=True):
    """A member in ``members``."""

    name: str
    address: str
    role: str
    match_index: int
    silent_seconds: float


class MembersView(msgspec.Struct, frozen=True):
    """Result of ``members``."""

    leader: str
    term: int
    commit_index: int
    members: tuple[MemberView, ...]


class HistoryEntryView(msgspec.Struct, frozen=True):
    """An entry of ``history``; ``time`` is ISO 8601 in UTC, by the leader's clock."""

    time: str
    operator: str
    action: str
    subject: str
    outcome: str


class HistoryView(msgspec.Struct, frozen=True):
    """Result of ``history``, newest first."""

    entries: tuple[HistoryEntryView, ...]


class DecisionView(msgspec.Struct, frozen=True):
    """A decision in ``explain``."""

    age_seconds: float
    root: str
    action: str
    reason: str
    endpoint: str
    detail: str


class QuarantinedView(msgspec.Struct, frozen=True):
    """A suspected or quarantined request in ``quarantine``."""

    signature: str
    standing: str
    instances: tuple[str, ...]
    age_seconds: float
    refused_seconds: float


class QuarantineView(msgspec.Struct, frozen=True):
    """Result of ``quarantine``."""

    requests: tuple[QuarantinedView, ...]


class ExplainView(msgspec.Struct, frozen=True):
    """Result of ``explain``."""

    node: str
    decisions: tuple[DecisionView, ...]
