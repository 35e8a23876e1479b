"""What is equal for all tries of the same piece of work, whatever identity each try carries."""

import hashlib
from collections.abc import Sequence

SIGNATURE_BYTES = 10
"""Size of a signature. A caller who wants the signature of another's request has to find a second
preimage of 80 bits; a line that names 100 of them stays under 3 kB."""


def signature_of(service: str, method: str, path: str, caller: Sequence[str], body: bytes) -> str:
    """Return the signature of a request, hexadecimal.

    Parameters
    ----------
    path
        Path and query, as sent.
    caller
        What tells one caller from another: the same request of two callers has two signatures, so
        what one of them sends never bears on the other.
    body
        The whole body. A megabyte takes about 2 ms, a request without one about 3 us.
    """
    digest = hashlib.blake2b(digest_size=SIGNATURE_BYTES)
    for part in (service, method, path, *caller):
        encoded = part.encode("utf-8", "surrogatepass")
        # The length keeps two neighbours from being split elsewhere.
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
