"""Which requests are kept from back ends, as ends of back ends under them tell. Pure decisions.

A back end that ends takes everything that it ran with it, so after one crash nothing tells the
cause from the bystanders. Three things do:

- A request that runs to an end is cleared of all crashes known until then.
- A suspect runs alone: at one back end of its service, where no other suspect runs beside it. The
  next crash has one suspect only.
- A crash under a suspect is charged to it, not to what else ran there.

Every daemon and control node holds such a register. Registers merge by union: of crashes, which the
instances that ended name, and of those that are refuted.

Inputs: signatures of requests, instances that ended with what they ran, runs to an end, records of
other registers, and the time in seconds. Owns the records, in memory alone; its caller refuses by
:meth:`QuarantineRegister.assess` and carries records on. Ways compared: docs/design/quarantine.md.
"""

import enum
from collections.abc import Iterable, Sequence

import msgspec

from finchshed.common.backoff import Backoff
from finchshed.quarantine.messages import MAX_CRASHES, Crash, CrashRecord

QUARANTINE_CRASHES = 3
"""Crashes from which a request is refused, if one of them had no other suspect: users' bound."""

QUARANTINE_CRASHES_TOGETHER = 4
"""The same where another suspect shared each crash: the fourth is past the users' bound, and two
requests that share four ends of back ends without having run to an end once are rare."""

LAST_OWN_RETRY_CRASHES = 1
"""A request that more back ends ended under isn't tried again by the daemon that holds it."""

SUSPECT_SECONDS = 600.0
"""A suspect that doesn't come again is forgotten after this time: the longest time-out a route can
have, so a client that still waits for its answer is remembered."""

QUARANTINE_SECONDS = 600.0
"""First refusal; it doubles with each further crash. After it one try at a time is made, alone.
Chosen, not measured."""

QUARANTINE_MAX_SECONDS = 6 * 3600.0
"""Longest refusal: a request that still crashes ends a back end four times a day."""

QUARANTINE_BACKOFF = Backoff(QUARANTINE_SECONDS, QUARANTINE_MAX_SECONDS)

REFUTED_SECONDS = 60.0
"""How long it is remembered that a request was cleared, so that late news don't revive crashes:
longer than a cut-off zone's news are under way after its return."""

MAX_RECORDS = 1024
"""Requests kept; the oldest suspects make room: those of forty back ends that end with 25 requests
each within the time a suspect is kept."""

RECENT_CRASHES = 64
"""Crashes remembered for whether a suspect explains them: connections may break in two batches.
Chosen, not measured."""


class Suspicion(enum.Enum):
    """What may be done with a request."""

    FREE = "free"
    SUSPECT = "suspect"
    """It runs alone, at the endpoint designated for it."""

    QUARANTINED = "quarantined"
    """It isn't run."""


class Assessment(msgspec.Struct, frozen=True, gc=False):
    """What is held of a request.

    Attributes
    ----------
    crashes
        Back ends that ended under it and aren't refuted.
    seconds
        Time until it may be tried again; 0 unless it is quarantined.
    """

    suspicion: Suspicion
    crashes: int = 0
    seconds: float = 0.0


FREE = Assessment(Suspicion.FREE)


class _Held:
    """One request's record. Times are seconds of the caller's clock."""

    __slots__ = ("crashes", "last_crash_at", "refuted")

    def __init__(self, last_crash_at: float) -> None:
        self.crashes: dict[str, bool] = {}
        self.refuted: dict[str, None] = {}
        self.last_crash_at = last_crash_at

    def counted(self) -> int:
        """Return the crashes that aren't refuted."""
        return len(self.crashes.keys() - self.refuted.keys())

    def is_convicted(self) -> bool:
        """Return whether the crashes suffice to refuse the request."""
        counted = self.crashes.keys() - self.refuted.keys()
        if len(counted) >= QUARANTINE_CRASHES_TOGETHER:
            return True
        return len(counted) >= QUARANTINE_CRASHES and any(self.crashes[name] for name in counted)

    def held_seconds(self) -> float:
        """Return for how long after its last crash the request is refused."""
        if not self.is_convicted():
            return 0.0
        doublings = max(0, self.counted() - QUARANTINE_CRASHES_TOGETHER)
        return QUARANTINE_BACKOFF.bound(doublings)

    def kept_seconds(self) -> float:
        """Return for how long after its last crash the record is kept."""
        if not self.counted():
            return REFUTED_SECONDS
        return self.held_seconds() * 2.0 or SUSPECT_SECONDS

    def merge(self, crashes: Iterable[Crash], refuted: Iterable[str]) -> bool:
        """Merge what is reported; return whether any of it is new."""
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
        """Return the record that is sent to others."""
        crashes = tuple(Crash(name, alone) for name, alone in self.crashes.items())
        age = max(0.0, now - self.last_crash_at)
        return CrashRecord(signature, round(age, 3), crashes, tuple(self.refuted))


class QuarantineRegister:
    """Requests that back ends ended under, by signature."""

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}
        self._explained: dict[str, bool] = {}

    def __len__(self) -> int:
        """Return the number of requests held; while it is 0 every request is free."""
        return len(self._held)

    def assess(self, signature: str, now: float) -> Assessment:
        """Return what may be done with a request now."""
        held = self._held.get(signature)
        if held is None:
            return FREE
        crashes = held.counted()
        age = now - held.last_crash_at
        if not crashes or age > held.kept_seconds():
            return FREE
        left = held.held_seconds() - age
        if left > 0.0:
            return Assessment(Suspicion.QUARANTINED, crashes, left)
        return Assessment(Suspicion.SUSPECT, crashes)

    def on_crash(
        self, instance: str, running: Sequence[str], now: float
    ) -> tuple[CrashRecord, ...]:
        """Charge the end of a back end to these requests; return the records that changed."""
        distinct = dict.fromkeys(running)
        prior = {name: self._prior_crashes(name, instance, now) for name in distinct}
        most = max(prior.values(), default=0)
        if most == 0 and self._explained.get(instance):
            return ()
        self._note_explained(instance, most > 0)
        charged = [name for name, count in prior.items() if count == most]
        crash = Crash(instance, len(charged) == 1)
        records = [CrashRecord(name, 0.0, (crash,)) for name in charged]
        return self.merge(records, now)

    def on_completed(self, signature: str, now: float) -> CrashRecord | None:
        """Clear a request that has run to an end; return its record if that is news."""
        held = self._held.get(signature)
        if held is None or not held.counted():
            return None
        held.merge((), held.crashes)
        return held.record(signature, now)

    def merge(self, records: Iterable[CrashRecord], now: float) -> tuple[CrashRecord, ...]:
        """Merge records of others; return those that are changed by it, whole."""
        changed = [record.signature for record in records if self._merge_one(record, now)]
        self._make_room()
        return tuple(
            self._held[name].record(name, now)
            for name in dict.fromkeys(changed)
            if name in self._held
        )

    def records(self, now: float) -> tuple[CrashRecord, ...]:
        """Return all that is held."""
        return tuple(held.record(signature, now) for signature, held in self._held.items())

    def record_of(self, signature: str, now: float) -> CrashRecord | None:
        """Return what is held of one request."""
        held = self._held.get(signature)
        return None if held is None else held.record(signature, now)

    def expire(self, now: float) -> None:
        """Forget what is over."""
        for signature, held in list(self._held.items()):
            if now - held.last_crash_at > held.kept_seconds():
                del self._held[signature]

    def _merge_one(self, record: CrashRecord, now: float) -> bool:
        held = self._held.get(record.signature)
        crashed_at = now - record.age_seconds
        if held is None:
            held = _Held(crashed_at)
            held.merge(record.crashes, record.refuted)
            if record.age_seconds > held.kept_seconds():
                return False
            self._held[record.signature] = held
            return True
        held.last_crash_at = max(held.last_crash_at, crashed_at)
        return held.merge(record.crashes, record.refuted)

    def _prior_crashes(self, signature: str, instance: str, now: float) -> int:
        """Return the crashes held against a request, but for that of ``instance``."""
        held = self._held.get(signature)
        if held is None or self.assess(signature, now).suspicion is Suspicion.FREE:
            return 0
        counted = held.crashes.keys() - held.refuted.keys()
        return len(counted - {instance})

    def _note_explained(self, instance: str, by_suspect: bool) -> None:
        if len(self._explained) >= RECENT_CRASHES:
            del self._explained[next(iter(self._explained))]
        self._explained[instance] = by_suspect or self._explained.get(instance, False)

    def _make_room(self) -> None:
        """Drop the oldest records past the bound, those of suspects first."""
        excess = len(self._held) - MAX_RECORDS
        if excess <= 0:
            return
        oldest = sorted(
            self._held.items(), key=lambda item: (item[1].is_convicted(), item[1].last_crash_at)
        )
        for signature, _ in oldest[:excess]:
            del self._held[signature]
