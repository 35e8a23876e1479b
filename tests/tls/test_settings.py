"""Files that settings name are checked by the loader."""

from pathlib import Path

import pytest

from finchshed.common.errors import SettingsError
from finchshed.daemon.settings import DaemonSettings
from finchshed.settings.loader import load
from finchshed.tls.files import TlsFiles
from finchshed.tls.names import CertificateRole
from tests.tls.keys import EXPIRED, Deployment

BASE = {
    "node": "d1",
    "region": "north",
    "zone": "a",
    "http_address": "127.0.0.1:0",
    "link_address": "127.0.0.1:0",
    "control_addresses": "127.0.0.1:4000",
}


def problems(files: TlsFiles) -> list[str]:
    given = {name: path for name, path in files.by_setting().items() if path}
    try:
        load(DaemonSettings, None, {**BASE, **given})
    except SettingsError as error:
        return error.problems
    return []


@pytest.fixture
def keys(tmp_path: Path) -> Deployment:
    return Deployment(tmp_path / "keys")


def test_files_that_fit_together_and_none_are_fine(keys: Deployment) -> None:
    assert problems(keys.issue(CertificateRole.DAEMON, "d1")) == []
    assert problems(TlsFiles("", "", "")) == []


def test_each_file_that_is_missing_or_not_given_is_named(keys: Deployment) -> None:
    files = keys.issue(CertificateRole.DAEMON, "d1")
    found = problems(TlsFiles(files.certificate, "/no/such.key", ""))
    assert found == [
        "flag --tls_key_file: tls_key_file = /no/such.key: "
        "can't be read: No such file or directory",
        "settings: tls_authority_file: has to be given with the other two tls_ files",
    ]


def test_a_key_of_another_certificate_is_told(keys: Deployment) -> None:
    one, two = keys.issue(CertificateRole.DAEMON, "d1"), keys.issue(CertificateRole.DAEMON, "d2")
    (found,) = problems(TlsFiles(one.certificate, two.key, one.authority))
    assert found.endswith("isn't the key of the certificate")


def test_an_expired_certificate_is_told(keys: Deployment) -> None:
    (found,) = problems(keys.issue(CertificateRole.DAEMON, "d1", EXPIRED))
    assert "tls_certificate_file" in found
    assert "expired at 20" in found


def test_files_that_hold_something_else_are_told(keys: Deployment, tmp_path: Path) -> None:
    files = keys.issue(CertificateRole.DAEMON, "d1")
    other = tmp_path / "other"
    other.write_text("no PEM")
    found = problems(TlsFiles(str(other), files.key, str(other)))
    assert [line.rpartition(": ")[2] for line in found] == ["holds no certificate in PEM"] * 2
    (found_key,) = problems(TlsFiles(files.certificate, str(other), files.authority))
    assert "holds no usable private key in PEM" in found_key
