"""Register of requests that are suspected of crashing back ends, or quarantined for it.

A crash affects all requests running on the back end, so a single one doesn't identify its cause.
The register isolates it as follows:

- A request that completes is cleared of all crashes known so far.
- A suspect runs at one designated back end of its service, never beside another suspect, so the
  next crash there has a single suspect.
- A crash with a suspect running is attributed to the suspect, not to other requests.

Every daemon and control node has a register, kept in memory only. Registers merge by union, of the
crashes (identified by the crashed instance) and of the refuted ones. The caller refuses requests
according to :meth:`QuarantineRegister.assess` and forwards changed records.
"""

import enum
from collections.abc import Iterable, Sequence

import msgspec

from finchshed.common.backoff import Backoff
from finchshed.quarantine.messages import MAX_CRASHES, Crash, CrashRecord

QUARANTINE_CRASHES = 3
"""Crashes after which a request is quarantined if it was the only suspect of one of them."""

SHARED_QUARANTINE_CRASHES = 4
"""Crashes after which a request is quarantined if every crash had another suspect as well.

Two requests that share four crashes without either having completed once are rare."""

MAX_CRASHES_FOR_RETRY = 1
"""A daemon doesn't retry a failed request with more crashes than this."""

SUSPECT_SECONDS = 600.0
"""How long a suspect is remembered: the longest timeout of a route, so that it covers clients still
waiting for an answer."""

QUARANTINE_SECONDS = 600.0
"""First quarantine period; it doubles with each further crash. Afterwards the request is a suspect
again."""

QUARANTINE_MAX_SECONDS = 6 * 3600.0
"""Maximum quarantine period; limits a crashing request to four crashes per day."""

QUARANTINE_BACKOFF = Backoff(QUARANTINE_SECONDS, QUARANTINE_MAX_SECONDS)

REFUTED_SECONDS = 60.0
"""How long a cleared record is kept, so that delayed records don't restore its crashes; longer than
records take to arrive after a network partition."""

MAX_RECORDS = 1024
"""Maximum number of records: enough for the crashes of 40 back ends with 25 requests each."""

MAX_RECENT_CRASHES = 64
"""Number of recent crashes tracked, because connections of one crash may break in two batches."""


class Suspicion(enum.Enum):
    """How a request may be run."""

    FREE = "free"
    SUSPECT = "suspect"
    """Runs only at its designated endpoint, without other suspects."""

    QUARANTINED = "quarantined"
    """Is refused until the quarantine period ends."""


class Assessment(msgspec.Struct, frozen=True, gc=False):
    """Assessment of a request.

    Attributes
    ----------
    crashes
        Number of crashes that aren't refuted.
    seconds
        Remaining quarantine time; 0 unless it is quarantined.
    """

    suspicion: Suspicion
    crashes: int = 0
    seconds: float = 0.0


FREE = Assessment(Suspicion.FREE)


class _CrashHistory:
    """Crash history of one request. Times are in seconds on the caller's clock."""

    __slots__ = ("crashes", "last_crash_at", "refuted")

    def __init__(self, last_crash_at: float) -> None:
        self.crashes: dict[str, bool] = {}
        self.refuted: dict[str, None] = {}
        self.last_crash_at = last_crash_at

    def crash_count(self) -> int:
        """Return the number of crashes that aren't refuted."""
        return len(self.crashes.keys() - self.refuted.keys())

    def is_quarantinable(self) -> bool:
        """Return whether the crashes suffice to quarantine the request."""
        active = self.crashes.keys() - self.refuted.keys()
        if len(active) >= SHARED_QUARANTINE_CRASHES:
            return True
        return len(active) >= QUARANTINE_CRASHES and any(self.crashes[name] for name in active)

    def quarantine_seconds(self) -> float:
        """Return how long after its last crash the request is quarantined."""
        if not self.is_quarantinable():
            return 0.0
        doublings = max(0, self.crash_count() - SHARED_QUARANTINE_CRASHES)
        return QUARANTINE_BACKOFF.bound(doublings)

    def retention_seconds(self) -> float:
        """Return how long after its last crash the record is kept."""
        if not self.crash_count():
            return REFUTED_SECONDS
        return self.quarantine_seconds() * 2.0 or SUSPECT_SECONDS

    def merge(self, crashes: Iterable[Crash], refuted: Iterable[str]) -> bool:
        """Merge reported crashes and refutations; return whether any of them is new."""
        before = (len(self.crashes), sum(self.crashes.values()), len(self.refuted))
        for crash in crashes:
            if crash.instance in self.crashes or len(self.crashes) < MAX_CRASHES:
                known = self.crashes.get(crash.instance, False)
                self.crashes[crash.instance] = known or crash.is_alone
        for name in refuted:
            if len(self.refuted) < MAX_CRASHES:
                self.refuted[name] = None
        return before != (len(self.crashes), sum(self.crashes.values()), len(self.refuted))

    def record(self, signature: str, now: float) -> CrashRecord:
        """Return the record to send to others."""
        crashes = tuple(Crash(name, alone) for name, alone in self.crashes.items())
        age = max(0.0, now - self.last_crash_at)
        return CrashRecord(signature, round(age, 3), crashes, tuple(self.refuted))


class QuarantineRegister:
    """Crash histories of requests, by signature."""

    def __init__(self) -> None:
        self._histories: dict[str, _CrashHistory] = {}
        self._has_suspect: dict[str, bool] = {}

    def __len__(self) -> int:
        """Return the number of requests with a record; if 0, every request is free."""
        return len(self._histories)

    def assess(self, signature: str, now: float) -> Assessment:
        """Return how a request may be run at ``now``."""
        history = self._histories.get(signature)
        if history is None:
            return FREE
        crashes = history.crash_count()
        age = now - history.last_crash_at
        if not crashes or age > history.retention_seconds():
            return FREE
        remaining = history.quarantine_seconds() - age
        if remaining > 0.0:
            return Assessment(Suspicion.QUARANTINED, crashes, remaining)
        return Assessment(Suspicion.SUSPECT, crashes)

    def on_crash(
        self, instance: str, running: Sequence[str], now: float
    ) -> tuple[CrashRecord, ...]:
        """Attribute a crash to the requests running there; return the changed records."""
        distinct = dict.fromkeys(running)
        prior = {name: self._prior_crashes(name, instance, now) for name in distinct}
        highest = max(prior.values(), default=0)
        if highest == 0 and self._has_suspect.get(instance):
            return ()
        self._record_crash(instance, highest > 0)
        attributed = [name for name, count in prior.items() if count == highest]
        crash = Crash(instance, len(attributed) == 1)
        records = [CrashRecord(name, 0.0, (crash,)) for name in attributed]
        return self.merge(records, now)

    def on_completed(self, signature: str, now: float) -> CrashRecord | None:
        """Clear a request that has completed; return its record if it changed."""
        history = self._histories.get(signature)
        if history is None or not history.crash_count():
            return None
        history.merge((), history.crashes)
        return history.record(signature, now)

    def merge(self, records: Iterable[CrashRecord], now: float) -> tuple[CrashRecord, ...]:
        """Merge records of other registers; return the records that changed."""
        changed = [record.signature for record in records if self._merge_one(record, now)]
        self._evict_excess()
        return tuple(
            self._histories[name].record(name, now)
            for name in dict.fromkeys(changed)
            if name in self._histories
        )

    def records(self, now: float) -> tuple[CrashRecord, ...]:
        """Return all records."""
        return tuple(
            history.record(signature, now) for signature, history in self._histories.items()
        )

    def record_of(self, signature: str, now: float) -> CrashRecord | None:
        """Return the record of one request, or None."""
        history = self._histories.get(signature)
        return None if history is None else history.record(signature, now)

    def expire(self, now: float) -> None:
        """Remove records past their retention time."""
        for signature, history in list(self._histories.items()):
            if now - history.last_crash_at > history.retention_seconds():
                del self._histories[signature]

    def _merge_one(self, record: CrashRecord, now: float) -> bool:
        history = self._histories.get(record.signature)
        crashed_at = now - record.age_seconds
        if history is None:
            history = _CrashHistory(crashed_at)
            history.merge(record.crashes, record.refuted)
            if record.age_seconds > history.retention_seconds():
                return False
            self._histories[record.signature] = history
            return True
        history.last_crash_at = max(history.last_crash_at, crashed_at)
        return history.merge(record.crashes, record.refuted)

    def _prior_crashes(self, signature: str, instance: str, now: float) -> int:
        """Return the number of active crashes of a request, not counting that of ``instance``."""
        history = self._histories.get(signature)
        if history is None or self.assess(signature, now).suspicion is Suspicion.FREE:
            return 0
        active = history.crashes.keys() - history.refuted.keys()
        return len(active - {instance})

    def _record_crash(self, instance: str, by_suspect: bool) -> None:
        if len(self._has_suspect) >= MAX_RECENT_CRASHES:
            del self._has_suspect[next(iter(self._has_suspect))]
        self._has_suspect[instance] = by_suspect or self._has_suspect.get(instance, False)

    def _evict_excess(self) -> None:
        """Drop the oldest records beyond the limit, those not quarantinable first."""
        excess = len(self._histories) - MAX_RECORDS
        if excess <= 0:
            return
        oldest = sorted(
            self._histories.items(),
            key=lambda item: (item[1].is_quarantinable(), item[1].last_crash_at),
        )
        for signature, _ in oldest[:excess]:
            del self._histories[signature]
