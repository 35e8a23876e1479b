"""Tenants found by the digests of their keys."""

import hashlib

from finchshed.configuration.resources import Tenant
from finchshed.tenancy.keys import TenantKeys, digest_of_key


def test_a_key_leads_to_the_tenant_that_holds_it() -> None:
    first = Tenant("first", (digest_of_key(b"one"), digest_of_key(b"two")))
    second = Tenant("second", (digest_of_key(b"three"),))
    keys = TenantKeys((first, second, Tenant("without")))
    assert keys.holder_of(b"one") is keys.holder_of(b"two") is first
    assert keys.holder_of(b"three") is second
    for unknown in (b"", b"One", b"one ", "schlüssel".encode("latin-1"), b"x" * 8192):
        assert keys.holder_of(unknown) is None


def test_a_digest_is_the_sha256_an_operator_can_make_with_any_tool() -> None:
    assert digest_of_key(b"secret") == hashlib.sha256(b"secret").hexdigest()


def test_no_key_is_needed_until_a_tenant_is_declared() -> None:
    assert not TenantKeys()
    assert TenantKeys((Tenant("first"),))
