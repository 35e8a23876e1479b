"""Tests of tenant declarations, key uniqueness and replacement by whole changes."""

from pathlib import Path

import pytest

from finchshed.common.errors import DeclarationError
from finchshed.common.importance import Importance
from finchshed.configuration.changes import Accepted, Change, Invalid
from finchshed.configuration.declarations import read_declarations
from finchshed.configuration.resources import Resource, ResourceKey, Service, Tenant
from finchshed.configuration.store import BOOTSTRAP_OPERATOR, ConfigurationStore
from finchshed.tenancy.keys import digest_of_key

KEY = digest_of_key(b"one")
OTHER_KEY = digest_of_key(b"two")


def change(revision: int, *puts: Resource, is_whole: bool = False) -> Change:
    return Change(f"c{revision}", BOOTSTRAP_OPERATOR, revision, puts, is_whole=is_whole)


def test_key_belongs_to_one_tenant_only() -> None:
    store = ConfigurationStore()
    assert store.apply(change(0, Tenant("first", (KEY,)))) == Accepted(1)
    result = store.apply(change(1, Tenant("second", (OTHER_KEY, KEY))))
    assert isinstance(result, Invalid)
    (problem,) = result.problems
    assert "held by first, second" in problem
    assert KEY not in problem


def test_key_can_move_to_another_tenant_in_one_change() -> None:
    store = ConfigurationStore()
    assert store.apply(change(0, Tenant("first", (KEY,)))) == Accepted(1)
    assert store.apply(change(1, Tenant("first"), Tenant("second", (KEY,)))) == Accepted(2)


def test_whole_change_deletes_unlisted_tenants() -> None:
    store = ConfigurationStore()
    assert store.apply(change(0, Service("sales"), Tenant("a", (KEY,)), Tenant("b"))) == Accepted(1)
    assert store.apply(change(1, Service("sales"), Tenant("b"), is_whole=True)) == Accepted(2)
    assert ResourceKey("tenant", "a") not in store.resources
    assert ResourceKey("tenant", "b") in store.resources


def test_tenant_is_read_from_a_declaration_file(tmp_path: Path) -> None:
    (tmp_path / "tenants.toml").write_text(
        f'[[tenant]]\nname = "officers"\nkey_sha256 = ["{KEY}"]\nimportance = "critical"\n'
        "requests_per_second = 20.0\nburst_requests = 40.0\n"
    )
    resources = read_declarations(tmp_path).resources
    assert resources == {
        ResourceKey("tenant", "officers"): Tenant(
            "officers", (KEY,), Importance.CRITICAL, 20.0, 40.0
        )
    }


@pytest.mark.parametrize(
    ("field", "shown"),
    [
        ("requests_per_second = -1.0", "requests_per_second = -1.0"),
        ("burst_requests = -0.5", "burst_requests = -0.5"),
        ('importance = "odd"', "importance = 'odd'"),
        ("rate = 3", "rate: no such key"),
    ],
)
def test_problems_of_a_tenant_are_reported(tmp_path: Path, field: str, shown: str) -> None:
    (tmp_path / "tenants.toml").write_text(f'[[tenant]]\nname = "officers"\n{field}\n')
    with pytest.raises(DeclarationError) as raised:
        read_declarations(tmp_path)
    assert shown in str(raised.value)


def test_key_in_place_of_its_digest_is_not_disclosed(tmp_path: Path) -> None:
    (tmp_path / "tenants.toml").write_text(
        '[[tenant]]\nname = "officers"\nkey_sha256 = ["the-key-itself"]\n'
    )
    with pytest.raises(DeclarationError) as raised:
        read_declarations(tmp_path)
    assert "key_sha256" in str(raised.value)
    assert "the-key-itself" not in str(raised.value)


def test_duplicate_name_is_reported(tmp_path: Path) -> None:
    (tmp_path / "tenants.toml").write_text('[[tenant]]\nname = "a"\n[[tenant]]\nname = "a"\n')
    with pytest.raises(DeclarationError) as raised:
        read_declarations(tmp_path)
    assert "tenant a: declared in tenants.toml too" in str(raised.value)
