"""Certificates for measured processes.

Owns an authority of its own for one measurement; relies on the product's own issuing.
"""

import datetime
from pathlib import Path

from finchshed.tls.credentials import Credentials
from finchshed.tls.files import TlsFiles
from finchshed.tls.issuing import (
    CERTIFICATE_MODE,
    KEY_MODE,
    create_authority,
    issue,
    write_atomically,
)
from finchshed.tls.names import CertificateRole, identity_uri

VALID = datetime.timedelta(days=1)
"""Longer than any measurement."""

AUTHORITY_FILE = "authority.pem"


class BenchKeys:
    """An authority of its own for one measurement; its files go in ``folder``."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._authority = create_authority(VALID)
        content = self._authority.certificate_pem()
        write_atomically(folder / AUTHORITY_FILE, content, CERTIFICATE_MODE)

    def control(self) -> Credentials:
        """Return the credentials of the control node."""
        return Credentials(
            self._issue("control", [identity_uri(CertificateRole.CONTROL, "control")])
        )

    def flags_of(self, node: str, zone: str, endpoint: str) -> dict[str, str]:
        """Return a daemon's flags; its files are issued."""
        names = [
            identity_uri(CertificateRole.DAEMON, node),
            identity_uri(CertificateRole.ZONE, zone),
        ]
        if endpoint:
            names.append(identity_uri(CertificateRole.ENDPOINT, endpoint))
        paths = self._issue(node, names).by_setting()
        return {setting.replace("_", "-"): path for setting, path in paths.items()}

    def _issue(self, node: str, names: list[str]) -> TlsFiles:
        issued = issue(self._authority, node, names, [], VALID)
        certificate, key = self._folder / f"{node}.pem", self._folder / f"{node}.key"
        write_atomically(key, issued.key_pem(), KEY_MODE)
        write_atomically(certificate, issued.certificate_pem(), CERTIFICATE_MODE)
        return TlsFiles(str(certificate), str(key), str(self._folder / AUTHORITY_FILE))
