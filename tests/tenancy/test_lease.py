"""The lease of the API keys: what renews it, and when it ends."""

from finchshed.common.outcomes import RefusalReason
from finchshed.configuration.resources import Tenant
from finchshed.tenancy.authentication import authenticate
from finchshed.tenancy.keys import TenantKeys, digest_of_key
from finchshed.tenancy.lease import FRESH_SECONDS, QUESTIONS_KEPT, KeyLease

LENGTH = 4.5
HOLDER = Tenant("holder", (digest_of_key(b"key"),))


def lease_of(seconds: float = LENGTH) -> KeyLease:
    lease = KeyLease()
    lease.seconds = seconds
    return lease


def test_it_counts_from_the_question_and_not_from_the_answer() -> None:
    lease = lease_of()
    question = lease.start_renewal(10.0)
    assert not lease.is_valid(10.0)
    assert lease.on_answer(question, 0)
    assert lease.is_valid(10.0 + LENGTH - 0.001)
    assert not lease.is_valid(10.0 + LENGTH)


def test_an_answer_to_an_earlier_question_does_not_shorten_it() -> None:
    lease = lease_of()
    first, second = lease.start_renewal(10.0), lease.start_renewal(11.0)
    assert lease.on_answer(second, 0)
    assert not lease.on_answer(first, 0)
    assert lease.is_valid(11.0 + LENGTH - 0.001)


def test_an_answer_counts_once_and_only_for_a_question_that_was_asked() -> None:
    lease = lease_of()
    question = lease.start_renewal(10.0)
    assert not lease.on_answer(question + 1, 0)
    assert lease.on_answer(question, 0)
    lease.start_renewal(20.0)
    assert not lease.on_answer(question, 0)
    assert not lease.is_valid(20.0)


def test_an_answer_counts_once_its_revision_is_in_force() -> None:
    lease = lease_of()
    lease.on_revision_applied(3)
    assert not lease.on_answer(lease.start_renewal(10.0), 4)
    assert not lease.is_valid(10.1)
    assert lease.on_revision_applied(4)
    assert lease.is_valid(10.1)
    assert not lease.is_valid(10.0 + LENGTH)


def test_a_question_of_long_ago_is_forgotten() -> None:
    lease = lease_of()
    old = lease.start_renewal(10.0)
    for number in range(QUESTIONS_KEPT):
        lease.start_renewal(11.0 + number)
    assert not lease.on_answer(old, 0)


def test_without_a_length_known_keys_are_trusted_and_unknown_ones_never_denied_on_old_word() -> (
    None
):
    lease = lease_of(0.0)
    assert lease.is_valid(1e6)
    assert not lease.is_fresh(0.0)
    lease.on_answer(lease.start_renewal(10.0), 0)
    assert lease.is_fresh(10.0 + FRESH_SECONDS - 0.001)
    assert not lease.is_fresh(10.0 + FRESH_SECONDS)


def test_the_gate_asks_the_lease_at_the_moment_of_use() -> None:
    lease = lease_of()
    lease.on_answer(lease.start_renewal(10.0), 0)
    tenants = TenantKeys((HOLDER,))

    def ask(key: bytes, now: float, *, is_public: bool = False) -> object:
        keys = {key} if key else set()
        return authenticate(keys, tenants, lease, now, is_public=is_public)

    end = 10.0 + LENGTH
    assert ask(b"key", end - 0.001) is HOLDER
    assert ask(b"key", end) is RefusalReason.API_KEY_UNCONFIRMED
    assert ask(b"key", end, is_public=True) is None
    assert ask(b"other", 10.0) is RefusalReason.API_KEY_UNKNOWN
    assert ask(b"other", 10.0 + FRESH_SECONDS) is RefusalReason.API_KEY_UNCONFIRMED
    assert ask(b"", end) is RefusalReason.API_KEY_MISSING
    assert ask(b"", end, is_public=True) is None
