"""Suggests a valid name for a mistyped one."""

import difflib
from collections.abc import Iterable

from finchshed.settings.describe import name_without_unit, unit_of


def hint_for(key: str, names: Iterable[str]) -> str:
    """Return a suggestion such as ``; did you mean drain_seconds?``, or an empty string."""
    names = list(names)
    for name in names:
        if (
            unit_of(name)
            and unit_of(name) != unit_of(key)
            and name_without_unit(name) == name_without_unit(key)
        ):
            return f"; the unit is part of the name: use {name}, in {unit_of(name)}"
    close = difflib.get_close_matches(key, names, n=1)
    if not close:
        return ""
    return f"; did you mean {close[0]}?"
