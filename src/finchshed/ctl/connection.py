"""Connection settings of ``finchshed ctl``, from flags and the environment."""

import os
from pathlib import Path

from finchshed.common.errors import SettingsError
from finchshed.configuration.validation import is_address
from finchshed.ctl.client import OperatorClient
from finchshed.tls.files import TlsFiles, validate_files

CONTROL_VARIABLE = "FINCHSHED_CONTROL"
"""RPC addresses of control nodes, separated by commas."""

TOKEN_VARIABLE = "FINCHSHED_TOKEN"
TOKEN_FILE_VARIABLE = "FINCHSHED_TOKEN_FILE"
TLS_VARIABLES = {
    "tls_certificate_file": "FINCHSHED_TLS_CERTIFICATE_FILE",
    "tls_key_file": "FINCHSHED_TLS_KEY_FILE",
    "tls_authority_file": "FINCHSHED_TLS_AUTHORITY_FILE",
}
"""Environment variables of the TLS files, by setting; without any, connections are plain text."""

DEFAULT_TIMEOUT_SECONDS = 20.0


def connect(
    control: str = "", token_file: str = "", timeout: float = DEFAULT_TIMEOUT_SECONDS
) -> OperatorClient:
    """Return a client for the given or configured control nodes.

    Parameters
    ----------
    control
        Addresses separated by commas; empty: FINCHSHED_CONTROL.
    token_file
        File with the token; empty: FINCHSHED_TOKEN, or the file named by FINCHSHED_TOKEN_FILE.
        The token itself can't be passed as a flag, since other users can see command lines.

    Raises
    ------
    SettingsError
        Addresses, token or TLS files are missing or invalid.
    """
    problems: list[str] = []
    text = control or os.environ.get(CONTROL_VARIABLE, "")
    addresses = tuple(part.strip() for part in text.split(",") if part.strip())
    if not addresses:
        problems.append(f"flag --control: missing; or set {CONTROL_VARIABLE} (a.b.c.d:port,...)")
    problems += [
        f"flag --control = {address!r}: allowed is a.b.c.d:port"
        for address in addresses
        if not is_address(address)
    ]
    token = _read_token(token_file, problems)
    tls = _read_tls_files(problems)
    if problems:
        raise SettingsError(problems)
    return OperatorClient(addresses, token, timeout, tls)


def _read_tls_files(problems: list[str]) -> TlsFiles | None:
    """Return the files named by the environment; None for plain text."""
    paths = {name: os.environ.get(variable, "") for name, variable in TLS_VARIABLES.items()}
    files = TlsFiles(
        paths["tls_certificate_file"], paths["tls_key_file"], paths["tls_authority_file"]
    )
    for name, problem in validate_files(files).items():
        problems.append(f"{TLS_VARIABLES[name]} = {paths[name]!r}: {problem}")
    return None if files.is_plain else files


def _read_token(token_file: str, problems: list[str]) -> str:
    path = token_file or os.environ.get(TOKEN_FILE_VARIABLE, "")
    if not path:
        token = os.environ.get(TOKEN_VARIABLE, "")
        if not token:
            problems.append(f"flag --token_file: missing; or set {TOKEN_VARIABLE}")
        return token
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        problems.append(f"flag --token_file = {path!r}: {error}")
        return ""
