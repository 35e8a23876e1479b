"""Certificate authorities and certificates for tests."""

import datetime
from pathlib import Path

from finchshed.tls.files import TlsFiles
from finchshed.tls.issuing import (
    CERTIFICATE_MODE,
    KEY_MODE,
    IssuedCertificate,
    create_authority,
    issue,
    write_atomically,
)
from finchshed.tls.names import CONTROL_HOST, CertificateRole, identity_uri

DAY = datetime.timedelta(days=1)
EXPIRED = datetime.timedelta(seconds=-1)


class CertificateAuthority:
    """A certificate authority and the certificates it has issued, in a folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(exist_ok=True)
        self.issuer: IssuedCertificate = create_authority(DAY)
        self.authority_file = folder / "authority.pem"
        write_atomically(self.authority_file, self.issuer.certificate_pem(), CERTIFICATE_MODE)

    def issue(
        self, role: CertificateRole, name: str, valid: datetime.timedelta = DAY, **others: str
    ) -> TlsFiles:
        """Issue a key and a certificate for ``name``; ``others`` may hold zone and endpoint."""
        names = [
            identity_uri(role, name),
            *(identity_uri(CertificateRole(k), v) for k, v in others.items()),
        ]
        hosts = [CONTROL_HOST] if role is CertificateRole.CONTROL else []
        issued = issue(self.issuer, name, names, hosts, valid)
        certificate, key = self.folder / f"{name}.pem", self.folder / f"{name}.key"
        write_atomically(key, issued.key_pem(), KEY_MODE)
        write_atomically(certificate, issued.certificate_pem(), CERTIFICATE_MODE)
        return TlsFiles(str(certificate), str(key), str(self.authority_file))


def settings_text(files: TlsFiles) -> str:
    """Return ``files`` as lines of a settings file."""
    return "".join(f'{name} = "{path}"\n' for name, path in files.by_setting().items())


def flags(files: TlsFiles) -> dict[str, str]:
    """Return ``files`` as command line flags."""
    return {name.replace("_", "-"): path for name, path in files.by_setting().items()}
