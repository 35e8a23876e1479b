"""Text for people."""

MAX_LINE_CHARACTERS = 1_000
_KEPT_OF_THE_END = 300
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
