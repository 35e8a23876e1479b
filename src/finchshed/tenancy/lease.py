"""Lease under which a daemon trusts the API keys it knows.

A revoked key must become invalid on every daemon, even one that control can't reach, so a daemon
trusts its keys only while its lease is valid. To renew it, the daemon sends a request to control,
which answers with the latest revision after a quorum read that began after the request arrived. The
lease runs from the time of the request, on the daemon's own monotonic clock: keys revoked before
the request are missing from the confirmed revision, and keys revoked later outlive the revocation
by at most the length of the lease. A delayed answer therefore can't extend the lease too far.

The caller sends a request for each :meth:`KeyLease.start_renewal` and passes in the answers.
:meth:`KeyLease.is_valid` takes the time of use, so the lease also expires on a suspended process.
"""

RENEW_SECONDS = 1.0
"""Interval between renewal requests.

A lease must survive 3 s without control and end within 5 s in total, which leaves 2 s for this
interval, the quorum read, and a margin.
"""

FRESH_SECONDS = 1.8
"""An unknown key is rejected as unknown only if the last confirmed renewal is newer than this.

Longer than the renewal interval, and shorter than the 2 s within which a change must take effect; a
daemon that lags further behind asks the client to retry instead.
"""

MAX_PENDING_RENEWALS = 16
"""Maximum number of unanswered requests tracked; answers to older ones are ignored."""


class KeyLease:
    """Lease of one daemon.

    Attributes
    ----------
    seconds
        Length of the lease, from the request on; if 0, keys are trusted without a lease.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self._last_renewal = 0
        self._requested_at: dict[int, float] = {}
        self._confirmed: list[tuple[int, float]] = []
        self._revision = 0
        self._renewed_at: float | None = None

    def start_renewal(self, now: float) -> int:
        """Return the identifier of a renewal request sent now."""
        self._last_renewal += 1
        self._requested_at[self._last_renewal] = now
        self._requested_at.pop(self._last_renewal - MAX_PENDING_RENEWALS, None)
        return self._last_renewal

    def on_answer(self, renewal: int, revision: int) -> bool:
        """Handle an answer: ``revision`` was the latest at some time after the request.

        It renews the lease once that revision is applied here. Returns whether the lease was
        extended.
        """
        requested_at = self._requested_at.pop(renewal, None)
        if requested_at is None:
            return False
        self._confirmed.append((revision, requested_at))
        return self._apply_confirmed()

    def on_revision_applied(self, revision: int) -> bool:
        """Record the revision applied here; return whether the lease was extended."""
        self._revision = revision
        return self._apply_confirmed()

    def is_valid(self, now: float) -> bool:
        """Return whether the known keys may be trusted."""
        if not self.seconds:
            return True
        return self._renewed_at is not None and now < self._renewed_at + self.seconds

    def is_fresh(self, now: float) -> bool:
        """Return whether an unknown key may be rejected as undeclared."""
        return self._renewed_at is not None and now < self._renewed_at + FRESH_SECONDS

    def age(self, now: float) -> float:
        """Return the seconds since the request that last renewed the lease; -1 if there is none."""
        return -1.0 if self._renewed_at is None else now - self._renewed_at

    def _apply_confirmed(self) -> bool:
        """Renew the lease from the answers whose revision has been applied."""
        before = self._renewed_at
        pending = []
        for revision, requested_at in self._confirmed:
            if revision > self._revision:
                pending.append((revision, requested_at))
            elif self._renewed_at is None or requested_at > self._renewed_at:
                self._renewed_at = requested_at
        self._confirmed = pending[-MAX_PENDING_RENEWALS:]
        return self._renewed_at != before
