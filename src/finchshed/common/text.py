"""Sanitizing of external text for logs and messages."""

MAX_LINE_CHARACTERS = 1_000
"""Maximum length of a line, characters."""

_TAIL_CHARACTERS = 300
"""Number of trailing characters kept when a line is truncated."""

_TRUNCATION_MARK = " [...] "


def one_line(text: str) -> str:
    """Return ``text`` as one printable line, truncated in the middle if it is too long."""
    line = "".join(
        character if character.isprintable() else character.encode("unicode_escape").decode()
        for character in text
    )
    if len(line) <= MAX_LINE_CHARACTERS:
        return line
    head_characters = MAX_LINE_CHARACTERS - _TAIL_CHARACTERS - len(_TRUNCATION_MARK)
    return line[:head_characters] + _TRUNCATION_MARK + line[-_TAIL_CHARACTERS:]
