"""Request signature, equal for all attempts of the same work regardless of request identity."""

import hashlib
from collections.abc import Sequence

SIGNATURE_BYTES = 10
"""Size of a signature. Forging that of another caller's request takes an 80-bit second preimage.

A line that names 100 of them stays under 3 kB."""


def signature_of(service: str, method: str, path: str, caller: Sequence[str], body: bytes) -> str:
    """Return the signature of a request, hexadecimal.

    Parameters
    ----------
    path
        Path and query as sent.
    caller
        Values that identify the caller. Signatures differ between callers, so that one caller can't
        cause another's requests to be quarantined.
    body
        The complete body.
    """
    digest = hashlib.blake2b(digest_size=SIGNATURE_BYTES)
    for part in (service, method, path, *caller):
        encoded = part.encode("utf-8", "surrogatepass")
        # The length prefix keeps adjacent parts unambiguous.
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
