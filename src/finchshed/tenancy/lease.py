"""For how long a daemon may go on trusting the API keys it knows. Pure.

A key that was taken away has to end on every daemon, also on one that control can't reach. So a
daemon trusts its keys under a lease: it asks control to renew it, and control answers once a quorum
has confirmed, in a read that began after the question came in, which revision is the latest. The
lease counts from the daemon's question, on the daemon's monotonic clock alone: whatever a change
took away before the question is in the confirmed revision, and whatever comes later meets a lease
that ends in time. An answer that lay in a silent connection, one of a node without a quorum, or one
to an earlier question prolongs nothing that it shouldn't.

The shell asks :meth:`KeyLease.start_renewal` now and then, sends the question, and hands in the
answers. The moment of each use is given to :meth:`KeyLease.is_valid`, so a process that stood
still finds its lease ended.
"""

RENEW_SECONDS = 1.0
"""Time between two questions of a daemon.

A lease that has to outlive 3 s without control, within 5 s in all, leaves 2 s for the time between
questions, the read that answers one, and a reserve. Chosen by calculation, not measured."""

FRESH_SECONDS = 1.8
"""A key that isn't known is denied on the word of an answer to a question asked within this time.

Longer than the time between questions, and shorter than the 2 s in which a change has to be in
force: a daemon that lags behind the change which brought the key has the caller come back.
Chosen by calculation, not measured."""

QUESTIONS_KEPT = 16
"""Unanswered questions remembered; the answer to an older one comes too late to be of use. Chosen,
not measured."""


class KeyLease:
    """The lease of one daemon.

    Attributes
    ----------
    seconds
        Length, from the question to the end; 0: keys are trusted without a lease.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self._last_question = 0
        self._asked_at: dict[int, float] = {}
        self._confirmed: list[tuple[int, float]] = []
        self._revision = 0
        self._renewed_at: float | None = None

    def start_renewal(self, now: float) -> int:
        """Return the number of a question that is sent now."""
        self._last_question += 1
        self._asked_at[self._last_question] = now
        self._asked_at.pop(self._last_question - QUESTIONS_KEPT, None)
        return self._last_question

    def on_answer(self, question: int, revision: int) -> bool:
        """Take an answer: ``revision`` was the latest at some time after the question.

        Return whether the lease is longer now. It counts once that revision is in force here.
        """
        asked_at = self._asked_at.pop(question, None)
        if asked_at is None:
            return False
        self._confirmed.append((revision, asked_at))
        return self._settle()

    def on_revision_applied(self, revision: int) -> bool:
        """Note the revision in force here; return whether the lease is longer now."""
        self._revision = revision
        return self._settle()

    def is_valid(self, now: float) -> bool:
        """Return whether keys known here may be trusted."""
        if not self.seconds:
            return True
        return self._renewed_at is not None and now < self._renewed_at + self.seconds

    def is_fresh(self, now: float) -> bool:
        """Return whether what is not known here is surely not declared."""
        return self._renewed_at is not None and now < self._renewed_at + FRESH_SECONDS

    def age(self, now: float) -> float:
        """Return the seconds since the question that the lease counts from; negative: none yet."""
        return -1.0 if self._renewed_at is None else now - self._renewed_at

    def _settle(self) -> bool:
        """Count the answers whose revision is in force."""
        before = self._renewed_at
        waiting = []
        for revision, asked_at in self._confirmed:
            if revision > self._revision:
                waiting.append((revision, asked_at))
            elif self._renewed_at is None or asked_at > self._renewed_at:
                self._renewed_at = asked_at
        self._confirmed = waiting[-QUESTIONS_KEPT:]
        return self._renewed_at != before
