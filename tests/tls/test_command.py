"""The commands of ``finchshed keys``."""

import stat
from pathlib import Path

import pytest

from finchshed.cli.main import run
from finchshed.common.errors import SettingsError
from finchshed.ctl.connection import connect
from finchshed.tls.files import TlsFiles, validate_files
from finchshed.tls.names import CertificateRole
from tests.tls.keys import CertificateAuthority


def issue(folder: Path, *flags: str) -> int:
    return run(["keys", "issue", f"--authority={folder}", f"--folder={folder}", *flags])


def test_issued_files_are_valid_and_keys_readable_by_the_owner_only(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(["keys", "authority", f"--folder={tmp_path}"]) == 0
    flags = ("--role=daemon", "--name=d1", "--zone=a", "--endpoint=e1", "--days=0.5")
    assert issue(tmp_path, *flags) == 0
    files = TlsFiles(*(str(tmp_path / name) for name in ("d1.pem", "d1.key", "authority.pem")))
    assert validate_files(files) == {}
    for key in ("d1.key", "authority.key"):
        assert stat.S_IMODE((tmp_path / key).stat().st_mode) == 0o600
    capsys.readouterr()
    assert run(["keys", "show", f"--certificate={files.certificate}"]) == 0
    shown = capsys.readouterr().out
    for name in ("daemon/d1", "zone/a", "endpoint/e1"):
        assert f"finchshed://{name}\n" in shown
    assert sorted(path.name for path in tmp_path.iterdir()) == [
        "authority.key",
        "authority.pem",
        "d1.key",
        "d1.pem",
    ]


def test_an_authority_is_never_replaced(tmp_path: Path) -> None:
    assert run(["keys", "authority", f"--folder={tmp_path}"]) == 0
    before = (tmp_path / "authority.key").read_bytes()
    assert run(["keys", "authority", f"--folder={tmp_path}"]) == 1
    assert (tmp_path / "authority.key").read_bytes() == before


def test_all_invalid_flags_are_reported_together(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(["keys", "authority", f"--folder={tmp_path}"]) == 0
    assert issue(tmp_path, "--role=king", "--name=../d1", "--days=0") == 2
    errors = capsys.readouterr().err
    for flag in ("--role", "--name", "--days"):
        assert f"flag {flag} = " in errors
    assert not list(tmp_path.glob("d1*"))


def test_a_missing_authority_is_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert issue(tmp_path, "--role=daemon", "--name=d1") == 1
    assert "no authority in" in capsys.readouterr().err


def test_operator_tls_files_are_read_from_the_environment(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    files = CertificateAuthority(tmp_path / "keys").issue(CertificateRole.OPERATOR, "ana")
    monkeypatch.setenv("FINCHSHED_TOKEN", "secret")
    monkeypatch.setenv("FINCHSHED_TLS_CERTIFICATE_FILE", files.certificate)
    monkeypatch.setenv("FINCHSHED_TLS_KEY_FILE", "/no/such.key")
    with pytest.raises(SettingsError) as raised:
        connect("127.0.0.1:4000")
    assert raised.value.problems == [
        "FINCHSHED_TLS_KEY_FILE = '/no/such.key': can't be read: No such file or directory",
        "FINCHSHED_TLS_AUTHORITY_FILE = '': has to be given with the other two tls_ files",
    ]
