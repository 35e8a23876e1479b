"""Key lease: renewal, expiry, and its use in authentication."""

from finchshed.common.outcomes import RefusalReason
from finchshed.configuration.resources import Tenant
from finchshed.tenancy.authentication import authenticate
from finchshed.tenancy.keys import TenantKeys, digest_of_key
from finchshed.tenancy.lease import FRESH_SECONDS, MAX_PENDING_RENEWALS, KeyLease

LENGTH = 4.5
HOLDER = Tenant("holder", (digest_of_key(b"key"),))


def lease_of(seconds: float = LENGTH) -> KeyLease:
    lease = KeyLease()
    lease.seconds = seconds
    return lease


def test_lease_runs_from_the_request_not_the_answer() -> None:
    lease = lease_of()
    renewal = lease.start_renewal(10.0)
    assert not lease.is_valid(10.0)
    assert lease.on_answer(renewal, 0)
    assert lease.is_valid(10.0 + LENGTH - 0.001)
    assert not lease.is_valid(10.0 + LENGTH)


def test_answer_to_an_earlier_request_does_not_shorten_the_lease() -> None:
    lease = lease_of()
    first, second = lease.start_renewal(10.0), lease.start_renewal(11.0)
    assert lease.on_answer(second, 0)
    assert not lease.on_answer(first, 0)
    assert lease.is_valid(11.0 + LENGTH - 0.001)


def test_only_the_first_answer_to_a_sent_request_counts() -> None:
    lease = lease_of()
    renewal = lease.start_renewal(10.0)
    assert not lease.on_answer(renewal + 1, 0)
    assert lease.on_answer(renewal, 0)
    lease.start_renewal(20.0)
    assert not lease.on_answer(renewal, 0)
    assert not lease.is_valid(20.0)


def test_answer_takes_effect_once_its_revision_is_applied() -> None:
    lease = lease_of()
    lease.on_revision_applied(3)
    assert not lease.on_answer(lease.start_renewal(10.0), 4)
    assert not lease.is_valid(10.1)
    assert lease.on_revision_applied(4)
    assert lease.is_valid(10.1)
    assert not lease.is_valid(10.0 + LENGTH)


def test_answer_to_a_very_old_request_is_ignored() -> None:
    lease = lease_of()
    old = lease.start_renewal(10.0)
    for number in range(MAX_PENDING_RENEWALS):
        lease.start_renewal(11.0 + number)
    assert not lease.on_answer(old, 0)


def test_without_a_length_known_keys_are_trusted_and_freshness_still_expires() -> None:
    lease = lease_of(0.0)
    assert lease.is_valid(1e6)
    assert not lease.is_fresh(0.0)
    lease.on_answer(lease.start_renewal(10.0), 0)
    assert lease.is_fresh(10.0 + FRESH_SECONDS - 0.001)
    assert not lease.is_fresh(10.0 + FRESH_SECONDS)


def test_authentication_checks_the_lease_at_the_time_of_use() -> None:
    lease = lease_of()
    lease.on_answer(lease.start_renewal(10.0), 0)
    tenants = TenantKeys((HOLDER,))

    def check(key: bytes, now: float, *, is_public: bool = False) -> object:
        keys = {key} if key else set()
        return authenticate(keys, tenants, lease, now, is_public=is_public)

    end = 10.0 + LENGTH
    assert check(b"key", end - 0.001) is HOLDER
    assert check(b"key", end) is RefusalReason.API_KEY_UNCONFIRMED
    assert check(b"key", end, is_public=True) is None
    assert check(b"other", 10.0) is RefusalReason.API_KEY_UNKNOWN
    assert check(b"other", 10.0 + FRESH_SECONDS) is RefusalReason.API_KEY_UNCONFIRMED
    assert check(b"", end) is RefusalReason.API_KEY_MISSING
    assert check(b"", end, is_public=True) is None
