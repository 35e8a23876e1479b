"""What ``finchshed ctl`` prints with ``--json``."""

import msgspec

from finchshed.configuration.changes import ChangeResult
from finchshed.configuration.resources import Resource, ResourceKey


class DifferenceView(msgspec.Struct, frozen=True):
    """Answer of ``diff``."""

    revision: int
    puts: tuple[Resource, ...]
    deletes: tuple[ResourceKey, ...]


class ApplyView(msgspec.Struct, frozen=True):
    """Answer of ``apply`` and ``drain``. ``result`` is None when nothing had to change."""

    change_id: str
    result: ChangeResult | None


class ConfigurationView(msgspec.Struct, frozen=True):
    """Answer of ``get``; also one line of ``watch``, where ``base`` 0 means the whole."""

    revision: int
    resources: tuple[Resource, ...]
    base: int = 0
    deletes: tuple[ResourceKey, ...] = ()


class DaemonView(msgspec.Struct, frozen=True):
    """One daemon in ``status`` that is behind or silent, and for how many seconds."""

    node: str
    endpoint: str
    service: str
    zone: str
    state: str
    revision: int
    seconds: float


class LedgerView(msgspec.Struct, frozen=True):
    """Keys of the at-most-once ledger that the control group itself holds, by state."""

    free: int
    begun: int
    completed: int
    answer_bytes: int


class StatusView(msgspec.Struct, frozen=True):
    """Answer of ``status``."""

    revision: int
    leader: str
    confirmed: bool
    in_force: int
    known: int
    ledger: LedgerView
    daemons: tuple[DaemonView, ...]
    unreachable: tuple[str, ...]


class MemberView(msgspec.Struct, frozen=True):
    """One member in ``members``."""

    name: str
    address: str
    role: str
    match_index: int
    silent_seconds: float


class MembersView(msgspec.Struct, frozen=True):
    """Answer of ``members``."""

    leader: str
    term: int
    commit_index: int
    members: tuple[MemberView, ...]


class HistoryEntryView(msgspec.Struct, frozen=True):
    """One entry in ``history``. ``time`` is ISO 8601, UTC, by the leader's clock."""

    time: str
    operator: str
    action: str
    subject: str
    outcome: str


class HistoryView(msgspec.Struct, frozen=True):
    """Answer of ``history``, newest first."""

    entries: tuple[HistoryEntryView, ...]


class DecisionView(msgspec.Struct, frozen=True):
    """One decision in ``explain``."""

    age_seconds: float
    root: str
    action: str
    reason: str
    endpoint: str
    detail: str


class QuarantinedView(msgspec.Struct, frozen=True):
    """One request in ``quarantine``. Times are in seconds."""

    signature: str
    standing: str
    instances: tuple[str, ...]
    age_seconds: float
    refused_seconds: float


class QuarantineView(msgspec.Struct, frozen=True):
    """Answer of ``quarantine``."""

    requests: tuple[QuarantinedView, ...]


class ExplainView(msgspec.Struct, frozen=True):
    """Answer of ``explain``."""

    node: str
    decisions: tuple[DecisionView, ...]
