"""Renews the daemon's lease on the API keys with the control group.

Owns the lease and the renewal timer. The lease is checked at each use of a key because the timer
may fire late.
"""

import asyncio

from loguru import logger

from finchshed.daemon import metrics
from finchshed.daemon.catalogue import Catalogue
from finchshed.distribution.client import ControlClient
from finchshed.distribution.messages import LeaseRenewed
from finchshed.runtime import clock
from finchshed.tenancy.lease import RENEW_SECONDS, KeyLease


class KeyLeaseRenewal:
    """Renews the lease while tenants are declared.

    Attributes
    ----------
    lease
        Determines whether API keys may be trusted.
    """

    def __init__(self, client: ControlClient) -> None:
        self.lease = KeyLease()
        self._client = client
        self._client.on_lease = self._on_answer
        self._timer: asyncio.TimerHandle | None = None
        self._was_valid = True

    def configure(self, catalogue: Catalogue) -> None:
        """Apply a new configuration."""
        self.lease.seconds = catalogue.policy.key_trust_seconds
        self.lease.on_revision_applied(catalogue.revision)
        if catalogue.tenants and self._timer is None:
            self._renew()
        elif not catalogue.tenants and self._timer is not None:
            self.close()

    def close(self) -> None:
        """Stop renewing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _renew(self) -> None:
        # Not the event loop's time, which is constant during one iteration.
        now = clock.now()
        self._log_validity_change(now)
        self._client.renew_lease(self.lease.start_renewal(now))
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(RENEW_SECONDS, self._renew)

    def _on_answer(self, answer: LeaseRenewed) -> None:
        if self.lease.on_answer(answer.question, answer.revision):
            self._log_validity_change(clock.now())

    def _log_validity_change(self, now: float) -> None:
        age = self.lease.age(now)
        metrics.KEY_LEASE_AGE.set(age)
        is_valid = self.lease.is_valid(now)
        if is_valid == self._was_valid:
            return
        self._was_valid = is_valid
        if is_valid:
            logger.info("API keys are trusted again: control confirmed them {:.3f} s ago", age)
        else:
            logger.warning(
                "API keys are not trusted: control last confirmed them {:.3f} s ago "
                "(negative: never), allowed are {:.3f} s",
                age,
                self.lease.seconds,
            )
