"""The at-most-once ledger as a pure state machine.

The replicated log applies the same operations in the same order on every control node. Time is
the time of the log's entries (Unix seconds, proposed by the leader); it never goes back here, so
restarts and changes of leader don't prolong or shorten a key's life.

Owns the keys of one log. A key is free, begun by one attempt, or completed. It is forgotten once it
is older than the window; :attr:`Ledger.oldest_issued` only rises, so a forgotten key is refused for
good, also when the window is made longer later. Relies on the control program to apply each entry
once, in order.
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
"""How far a key's time may lie ahead of the log's time: clocks of callers differ. Chosen, not
measured."""

DEFAULT_MAX_KEYS = 500_000
"""Keys held at most; one more is refused. docs/design/ledger.md says how many a window needs."""

DEFAULT_MAX_ANSWER_BYTES = 64 << 10
"""Longest answer kept; a resend of a longer one gets "outcome unknown". Chosen, not measured."""

DEFAULT_MAX_TOTAL_ANSWER_BYTES = 512 << 20
"""Bytes of all answers kept; past them no key is begun. Chosen, not measured."""

CANCELLED_ATTEMPTS_KEPT = 8
"""Cancelled attempts remembered per key: a late begin of one of them is refused.

A begin of an attempt cancelled longer ago leaves the key begun by nobody: resends then get
"outcome unknown", which is safe. Chosen, not measured.
"""


class KeyState(enum.IntEnum):
    """What is known of a key."""

    FREE = 0
    BEGUN = 1
    COMPLETED = 2


class LedgerEntry(msgspec.Struct, array_like=True):
    """One key.

    ``answer`` is None for a completed key whose answer exceeded the byte limit: a resend then
    gets "outcome unknown".
    """

    issued: float
    state: KeyState
    attempt: str = ""
    answer: Answered | None = None
    cancelled: list[str] = []


class LedgerSnapshot(msgspec.Struct):
    """Everything a ledger holds.

    Attributes
    ----------
    time
        Time of the log, Unix seconds.
    oldest_issued
        Keys made before this are forgotten, Unix seconds; stored as ``floor``.
    unknown_before
        Keys made before this may have been begun in a part of the log that was lost, Unix seconds.
    """

    time: float
    oldest_issued: float = msgspec.field(name="floor")
    entries: dict[str, LedgerEntry]
    unknown_before: float = 0.0


class LedgerLimits(msgspec.Struct, frozen=True):
    """Bounds of the ledger's size."""

    max_keys: int = DEFAULT_MAX_KEYS
    max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES
    max_total_answer_bytes: int = DEFAULT_MAX_TOTAL_ANSWER_BYTES


def answer_bytes(answer: Answered | None) -> int:
    """Return how much of the answers' byte limit ``answer`` takes."""
    if answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers


class Ledger:
    """Grants each key at most once within its window.

    Parameters
    ----------
    limits
        Bounds of the size; equal on every control node.
    """

    def __init__(self, limits: LedgerLimits | None = None) -> None:
        self._limits = limits or LedgerLimits()
        self._entries: dict[str, LedgerEntry] = {}
        self._by_issue: list[tuple[float, str]] = []
        self._total_answer_bytes = 0
        self._counts: collections.Counter[KeyState] = collections.Counter()
        self.time = 0.0
        self.oldest_issued = 0.0
        self.unknown_before = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def total_answer_bytes(self) -> int:
        """Bytes of answers held."""
        return self._total_answer_bytes

    def counts(self) -> dict[str, int]:
        """Return the number of keys in each state."""
        return {state.name.lower(): self._counts[state] for state in KeyState}

    def advance(self, time: float, window_seconds: float) -> None:
        """Move the log's time forward to ``time`` and forget keys older than the window."""
        self.time = max(self.time, time)
        self.oldest_issued = max(self.oldest_issued, self.time - window_seconds)
        while self._by_issue and self._by_issue[0][0] < self.oldest_issued:
            _, key = heapq.heappop(self._by_issue)
            entry = self._entries.pop(key)
            self._counts[entry.state] -= 1
            self._total_answer_bytes -= answer_bytes(entry.answer)

    def begin(self, key: str, attempt: str) -> LedgerResult:
        """Ask leave to run the request under ``key``; a resend of an attempt is granted again."""
        issued = issued_at(key)
        refusal = self._refusal_of_time(issued)
        if refusal is not None or issued is None:
            return LedgerRefusal(refusal or LedgerRefusalReason.NO_TIME_IN_KEY)
        entry = self._entries.get(key)
        is_free = entry is None or entry.state is KeyState.FREE
        if is_free and issued < self.unknown_before:
            return OutcomeUnknown()
        if entry is None:
            if self._is_full():
                return LedgerRefusal(LedgerRefusalReason.FULL)
            entry = self._insert(key, issued)
        return self._begin_entry(entry, attempt)

    def cancel(self, key: str, attempt: str) -> LedgerResult:
        """Free ``key``: ``attempt`` was never sent. A begin that arrives later is refused."""
        issued = issued_at(key)
        refusal = self._refusal_of_time(issued)
        if refusal is LedgerRefusalReason.MADE_IN_THE_FUTURE:
            # It can't be kept, and a begin that comes late enough would be granted.
            return LedgerRefusal(refusal)
        if refusal is not None or issued is None:
            return Recorded()
        entry = self._entries.get(key)
        if entry is None:
            if self._is_full():
                return LedgerRefusal(LedgerRefusalReason.FULL)
            entry = self._insert(key, issued)
        if attempt in entry.cancelled:
            return Recorded()
        holds = entry.state is KeyState.BEGUN and entry.attempt == attempt
        if entry.state is not KeyState.FREE and not holds:
            if entry.attempt == attempt:
                return NotHolder()
            self._remember_cancelled(entry, attempt)
            return Recorded()
        self._remember_cancelled(entry, attempt)
        self._set_state(entry, KeyState.FREE)
        entry.attempt = ""
        return Recorded()

    def complete(self, key: str, attempt: str, answer: Answered | None) -> LedgerResult:
        """Record the whole answer of ``attempt``; resends of the request get it from now on.

        Without an answer, or with one past the byte limits, they get "outcome unknown".
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
        return Recorded()

    def snapshot(self) -> LedgerSnapshot:
        """Return everything held; the value shares its entries with the ledger."""
        return LedgerSnapshot(self.time, self.oldest_issued, self._entries, self.unknown_before)

    def restore(self, snapshot: LedgerSnapshot) -> None:
        """Replace everything held by ``snapshot``."""
        self.time = snapshot.time
        self.oldest_issued = snapshot.oldest_issued
        self.unknown_before = snapshot.unknown_before
        self._entries = snapshot.entries
        self._by_issue = [(entry.issued, key) for key, entry in snapshot.entries.items()]
        heapq.heapify(self._by_issue)
        entries = snapshot.entries.values()
        self._total_answer_bytes = sum(answer_bytes(entry.answer) for entry in entries)
        self._counts = collections.Counter(entry.state for entry in entries)

    def _refusal_of_time(self, issued: float | None) -> LedgerRefusalReason | None:
        if issued is None:
            return LedgerRefusalReason.NO_TIME_IN_KEY
        if issued < self.oldest_issued:
            return LedgerRefusalReason.EXPIRED
        if issued > self.time + MAX_CLOCK_LEAD_SECONDS:
            return LedgerRefusalReason.MADE_IN_THE_FUTURE
        return None

    def _is_full(self) -> bool:
        full = len(self._entries) >= self._limits.max_keys
        return full or self._total_answer_bytes >= self._limits.max_total_answer_bytes

    def _insert(self, key: str, issued: float) -> LedgerEntry:
        entry = LedgerEntry(issued=issued, state=KeyState.FREE)
        self._entries[key] = entry
        self._counts[KeyState.FREE] += 1
        heapq.heappush(self._by_issue, (issued, key))
        return entry

    def _begin_entry(self, entry: LedgerEntry, attempt: str) -> LedgerResult:
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
