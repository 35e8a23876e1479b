"""Removes secrets from log records."""

import re

REDACTED = "[redacted]"

_SECRET_NAMES = r"(?:token|secret|password|passphrase|authorization|private[-_]?key|api[-_]?key)"

_NAMED_SECRET = re.compile(
    rf"(?i)({_SECRET_NAMES}[\w-]{{0,32}}[\"']?\s{{0,8}}[=:]\s{{0,8}})"
    r"(?:(?:bearer|basic)\s+)?(\"[^\"]*\"|'[^']*'|[^\s,;)}\]]+)"
)
_BEARER = re.compile(r"(?i)\b(bearer|basic)\s+[A-Za-z0-9._~+/=-]{4,}")
_PEM = re.compile(
    r"-----BEGIN [A-Z ]*PRIVATE KEY-----.*?(-----END [A-Z ]*PRIVATE KEY-----|$)", re.S
)
_SECRET_FIELD = re.compile(rf"(?i){_SECRET_NAMES}")


def redact(text: str) -> str:
    """Return ``text`` with tokens, passwords and private keys replaced by ``REDACTED``."""
    text = _PEM.sub(REDACTED, text)
    text = _NAMED_SECRET.sub(lambda match: match.group(1) + REDACTED, text)
    return _BEARER.sub(lambda match: f"{match.group(1)} {REDACTED}", text)


def redact_field(name: str, value: object) -> object:
    """Return the redacted value of a structured field, replaced fully if its name is sensitive."""
    if _SECRET_FIELD.search(name):
        return REDACTED
    if isinstance(value, bool | int | float):
        return value
    return redact(str(value))
