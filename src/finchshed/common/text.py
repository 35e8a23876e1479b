"""Text for people: whatever comes from outside is one printable line of bounded length."""

MAX_LINE_CHARACTERS = 1_000
"""Longest line, characters. Chosen, not measured."""

_KEPT_OF_THE_END = 300
"""Characters of the end that a cut line keeps. Chosen, not measured."""

_CUT_MARK = " [...] "


def one_line(text: str) -> str:
    """Return ``text`` as one printable line of bounded length; its end is kept where it is cut."""
    line = "".join(
        character if character.isprintable() else character.encode("unicode_escape").decode()
        for character in text
    )
    if len(line) <= MAX_LINE_CHARACTERS:
        return line
    kept_of_the_beginning = MAX_LINE_CHARACTERS - _KEPT_OF_THE_END - len(_CUT_MARK)
    return line[:kept_of_the_beginning] + _CUT_MARK + line[-_KEPT_OF_THE_END:]
