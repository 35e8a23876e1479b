"""Lookup of tenants by API key."""

import hashlib

from finchshed.configuration.resources import Tenant
from finchshed.tenancy.keys import TenantKeys, digest_of_key


def test_key_resolves_to_its_tenant() -> None:
    first = Tenant("first", (digest_of_key(b"one"), digest_of_key(b"two")))
    second = Tenant("second", (digest_of_key(b"three"),))
    keys = TenantKeys((first, second, Tenant("without")))
    assert keys.holder_of(b"one") is keys.holder_of(b"two") is first
    assert keys.holder_of(b"three") is second
    for unknown in (b"", b"One", b"one ", "schlüssel".encode("latin-1"), b"x" * 8192):
        assert keys.holder_of(unknown) is None


def test_digest_is_a_plain_sha256() -> None:
    assert digest_of_key(b"secret") == hashlib.sha256(b"secret").hexdigest()


def test_tenant_keys_are_false_without_tenants() -> None:
    assert not TenantKeys()
    assert TenantKeys((Tenant("first"),))
