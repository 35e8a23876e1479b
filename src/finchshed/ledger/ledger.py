"""At-most-once ledger as a deterministic state machine.

The replicated log applies the same operations in the same order on every control node. Time is the
timestamp of log entries (Unix seconds, proposed by the leader) and never decreases, so restarts and
leader changes do not alter the lifetime of a key.

A key is free, begun by one attempt, or completed, and is dropped once it is older than the window.
:attr:`Ledger.oldest_issued` never decreases, so a dropped key stays refused even if the window is
extended later.
"""

import collections
import enum
import heapq

import msgspec

from finchshed.common.outcomes import Answered
from finchshed.ledger.keys import issued_at
from finchshed.ledger.results import (
    Completed,
    Granted,
    LedgerRefusal,
    LedgerRefusalReason,
    LedgerResult,
    NotHolder,
    OutcomeUnknown,
    Recorded,
)

MAX_CLOCK_LEAD_SECONDS = 60.0
"""Maximum lead of a key's issue time over the log time, to tolerate clock skew of callers."""

DEFAULT_MAX_KEYS = 500_000
"""Maximum number of keys; docs/design/ledger.md explains how many a window needs."""

DEFAULT_MAX_ANSWER_BYTES = 64 << 10
"""Maximum size of a stored answer; resends of a request with a larger one get OutcomeUnknown."""

DEFAULT_MAX_TOTAL_ANSWER_BYTES = 512 << 20
"""Maximum total size of stored answers; new keys are refused once it is reached."""

CANCELLED_ATTEMPTS_KEPT = 8
"""Number of cancelled attempts stored per key; a late begin of one of them is refused.

A late begin of an older cancelled attempt is granted but never executed, so resends of the request
get OutcomeUnknown, which is safe.
"""


class KeyState(enum.IntEnum):
    """State of a key."""

    FREE = 0
    BEGUN = 1
    COMPLETED = 2


class LedgerEntry(msgspec.Struct, array_like=True):
    """State and stored answer of a key.

    ``answer`` is None for a completed key without an answer, or whose answer exceeded the size
    limits; resends then get OutcomeUnknown.
    """

    issued: float
    state: KeyState
    attempt: str = ""
    answer: Answered | None = None
    cancelled: list[str] = []


class LedgerSnapshot(msgspec.Struct):
    """Serialized state of a ledger. Times are in Unix seconds.

    Attributes
    ----------
    time
        Time of the log.
    oldest_issued
        Keys issued before this have expired; stored as ``floor``.
    unknown_before
        Keys issued before this may have been begun in a lost part of the log.
    """

    time: float
    oldest_issued: float = msgspec.field(name="floor")
    entries: dict[str, LedgerEntry]
    unknown_before: float = 0.0


class LedgerLimits(msgspec.Struct, frozen=True):
    """Size limits of a ledger."""

    max_keys: int = DEFAULT_MAX_KEYS
    max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES
    max_total_answer_bytes: int = DEFAULT_MAX_TOTAL_ANSWER_BYTES


def header_count(answer: Answered | None) -> int:
    """Return the number of header fields of ``answer``."""
    return 0 if answer is None else len(answer.headers)


def answer_bytes(answer: Answered | None) -> int:
    """Return the size of ``answer`` as counted towards the limits."""
    if answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers


class Ledger:
    """Grants each key to at most one attempt within its window.

    Parameters
    ----------
    limits
        Size limits; must be equal on every control node.
    """

    def __init__(self, limits: LedgerLimits | None = None) -> None:
        self._limits = limits or LedgerLimits()
        self._entries: dict[str, LedgerEntry] = {}
        self._keys_by_issue_time: list[tuple[float, str]] = []
        self._total_answer_bytes = 0
        self._total_headers = 0
        self._counts: collections.Counter[KeyState] = collections.Counter()
        self.time = 0.0
        self.oldest_issued = 0.0
        self.unknown_before = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: str) -> bool:
        return key in self._entries

    @property
    def total_answer_bytes(self) -> int:
        """Total size of stored answers in bytes."""
        return self._total_answer_bytes

    @property
    def total_headers(self) -> int:
        """Number of header fields of stored answers."""
        return self._total_headers

    def counts(self) -> dict[str, int]:
        """Return the number of keys in each state."""
        return {state.name.lower(): self._counts[state] for state in KeyState}

    def advance(self, time: float, window_seconds: float) -> None:
        """Advance the log time to ``time`` and drop keys older than the window."""
        self.time = max(self.time, time)
        self.oldest_issued = max(self.oldest_issued, self.time - window_seconds)
        while self._keys_by_issue_time and self._keys_by_issue_time[0][0] < self.oldest_issued:
            _, key = heapq.heappop(self._keys_by_issue_time)
            entry = self._entries.pop(key)
            self._counts[entry.state] -= 1
            self._total_answer_bytes -= answer_bytes(entry.answer)
            self._total_headers -= header_count(entry.answer)

    def begin(self, key: str, attempt: str) -> LedgerResult:
        """Request to execute ``attempt`` of ``key``; the same attempt is granted again."""
        issued = issued_at(key)
        refusal = self._timestamp_refusal(issued)
        if refusal is not None or issued is None:
            return LedgerRefusal(refusal or LedgerRefusalReason.NO_TIME_IN_KEY)
        entry = self._entries.get(key)
        is_free = entry is None or entry.state is KeyState.FREE
        if is_free and issued < self.unknown_before:
            return OutcomeUnknown()
        if entry is None:
            if self._is_at_capacity():
                return LedgerRefusal(LedgerRefusalReason.FULL)
            entry = self._insert(key, issued)
        return self._begin_key(entry, attempt)

    def cancel(self, key: str, attempt: str) -> LedgerResult:
        """Free ``key`` because ``attempt`` was never sent; a later begin of it is refused."""
        issued = issued_at(key)
        refusal = self._timestamp_refusal(issued)
        if refusal is LedgerRefusalReason.MADE_IN_THE_FUTURE:
            # The cancel cannot be stored yet, and a later begin would be granted.
            return LedgerRefusal(refusal)
        if refusal is not None or issued is None:
            return Recorded()
        entry = self._entries.get(key)
        if entry is None:
            if self._is_at_capacity():
                return LedgerRefusal(LedgerRefusalReason.FULL)
            entry = self._insert(key, issued)
        if attempt in entry.cancelled:
            return Recorded()
        is_holder = entry.state is KeyState.BEGUN and entry.attempt == attempt
        if entry.state is not KeyState.FREE and not is_holder:
            if entry.attempt == attempt:
                return NotHolder()
            self._remember_cancelled(entry, attempt)
            return Recorded()
        self._remember_cancelled(entry, attempt)
        self._set_state(entry, KeyState.FREE)
        entry.attempt = ""
        return Recorded()

    def complete(self, key: str, attempt: str, answer: Answered | None) -> LedgerResult:
        """Record the complete answer of ``attempt``, to be returned to resends.

        Without an answer, or if it exceeds the size limits, resends get OutcomeUnknown.
        """
        entry = self._entries.get(key)
        if entry is None or entry.state is KeyState.FREE or entry.attempt != attempt:
            return NotHolder()
        if entry.state is KeyState.COMPLETED:
            return Recorded()
        self._set_state(entry, KeyState.COMPLETED)
        size = answer_bytes(answer)
        fits = answer is not None and size <= self._limits.max_answer_bytes
        if fits and self._total_answer_bytes + size <= self._limits.max_total_answer_bytes:
            entry.answer = answer
            self._total_answer_bytes += size
            self._total_headers += header_count(answer)
        return Recorded()

    def snapshot(self) -> LedgerSnapshot:
        """Return the current state; it shares its entries with the ledger."""
        return LedgerSnapshot(self.time, self.oldest_issued, self._entries, self.unknown_before)

    def clear(self) -> None:
        """Drop all keys and answers, before a snapshot replaces them."""
        self._entries = {}
        self._keys_by_issue_time = []
        self._total_answer_bytes = 0
        self._total_headers = 0
        self._counts.clear()

    def restore(self, snapshot: LedgerSnapshot) -> None:
        """Replace the state by ``snapshot``."""
        self.time = snapshot.time
        self.oldest_issued = snapshot.oldest_issued
        self.unknown_before = snapshot.unknown_before
        self._entries = snapshot.entries
        self._keys_by_issue_time = [(entry.issued, key) for key, entry in snapshot.entries.items()]
        heapq.heapify(self._keys_by_issue_time)
        entries = snapshot.entries.values()
        self._total_answer_bytes = sum(answer_bytes(entry.answer) for entry in entries)
        self._total_headers = sum(header_count(entry.answer) for entry in entries)
        self._counts = collections.Counter(entry.state for entry in entries)

    def _timestamp_refusal(self, issued: float | None) -> LedgerRefusalReason | None:
        if issued is None:
            return LedgerRefusalReason.NO_TIME_IN_KEY
        if issued < self.oldest_issued:
            return LedgerRefusalReason.EXPIRED
        if issued > self.time + MAX_CLOCK_LEAD_SECONDS:
            return LedgerRefusalReason.MADE_IN_THE_FUTURE
        return None

    def _is_at_capacity(self) -> bool:
        full = len(self._entries) >= self._limits.max_keys
        return full or self._total_answer_bytes >= self._limits.max_total_answer_bytes

    def _insert(self, key: str, issued: float) -> LedgerEntry:
        entry = LedgerEntry(issued=issued, state=KeyState.FREE)
        self._entries[key] = entry
        self._counts[KeyState.FREE] += 1
        heapq.heappush(self._keys_by_issue_time, (issued, key))
        return entry

    def _begin_key(self, entry: LedgerEntry, attempt: str) -> LedgerResult:
        if entry.state is KeyState.COMPLETED:
            return OutcomeUnknown() if entry.answer is None else Completed(entry.answer)
        if entry.state is KeyState.BEGUN:
            return Granted() if entry.attempt == attempt else OutcomeUnknown()
        if attempt in entry.cancelled:
            return LedgerRefusal(LedgerRefusalReason.ATTEMPT_CANCELLED)
        self._set_state(entry, KeyState.BEGUN)
        entry.attempt = attempt
        return Granted()

    def _set_state(self, entry: LedgerEntry, state: KeyState) -> None:
        self._counts[entry.state] -= 1
        self._counts[state] += 1
        entry.state = state

    def _remember_cancelled(self, entry: LedgerEntry, attempt: str) -> None:
        entry.cancelled.append(attempt)
        del entry.cancelled[:-CANCELLED_ATTEMPTS_KEPT]
