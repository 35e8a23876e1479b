"""The settings loader validates the TLS files."""

from pathlib import Path

import pytest

from finchshed.common.errors import SettingsError
from finchshed.daemon.settings import DaemonSettings
from finchshed.settings.loader import load
from finchshed.tls.files import TlsFiles
from finchshed.tls.names import CertificateRole
from tests.tls.keys import EXPIRED, CertificateAuthority

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
def authority(tmp_path: Path) -> CertificateAuthority:
    return CertificateAuthority(tmp_path / "keys")


def test_matching_files_and_no_files_are_accepted(authority: CertificateAuthority) -> None:
    assert problems(authority.issue(CertificateRole.DAEMON, "d1")) == []
    assert problems(TlsFiles("", "", "")) == []


def test_every_missing_or_unset_file_is_reported(authority: CertificateAuthority) -> None:
    files = authority.issue(CertificateRole.DAEMON, "d1")
    found = problems(TlsFiles(files.certificate, "/no/such.key", ""))
    assert found == [
        "flag --tls_key_file: tls_key_file = /no/such.key: "
        "can't be read: No such file or directory",
        "settings: tls_authority_file: has to be given with the other two tls_ files",
    ]


def test_a_key_of_another_certificate_is_reported(authority: CertificateAuthority) -> None:
    one, two = (
        authority.issue(CertificateRole.DAEMON, "d1"),
        authority.issue(CertificateRole.DAEMON, "d2"),
    )
    (found,) = problems(TlsFiles(one.certificate, two.key, one.authority))
    assert found.endswith("isn't the key of the certificate")


def test_an_expired_certificate_is_reported(authority: CertificateAuthority) -> None:
    (found,) = problems(authority.issue(CertificateRole.DAEMON, "d1", EXPIRED))
    assert "tls_certificate_file" in found
    assert "expired at 20" in found


def test_files_without_pem_are_reported(authority: CertificateAuthority, tmp_path: Path) -> None:
    files = authority.issue(CertificateRole.DAEMON, "d1")
    other = tmp_path / "other"
    other.write_text("no PEM")
    found = problems(TlsFiles(str(other), files.key, str(other)))
    assert [line.rpartition(": ")[2] for line in found] == ["holds no certificate in PEM"] * 2
    (found_key,) = problems(TlsFiles(files.certificate, str(other), files.authority))
    assert "holds no usable private key in PEM" in found_key
