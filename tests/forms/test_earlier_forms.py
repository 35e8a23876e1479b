"""Lines of programs that lack the fields added since: read and written again, sign for sign."""

import re

import pytest

from tests.forms import shapes
from tests.forms.codecs import FORMS
from tests.forms.samples_made import SAMPLES

EARLIER = SAMPLES / "earlier"
NAMES = sorted(path.stem for path in (EARLIER / "lines").iterdir())
LINES = [
    pytest.param(name, line, id=f"{name}-{place}")
    for name in NAMES
    for place, line in enumerate(
        (EARLIER / "lines" / f"{name}.jsonl").read_bytes().splitlines(keepends=True)
    )
]
DEFAULT = ", default "
ONE_OF = re.compile(r" one of ([a-z_ ]+)")
"""Members of an enumeration, to which later programs may add."""


def described(text: str) -> dict[str, str]:
    """Return the description of each field by its path."""
    lines = [line.partition(" ")[::2] for line in shapes.lines_to_compare(text)]
    return {path: text for path, text in lines if text.endswith(", required") or DEFAULT in text}


@pytest.mark.parametrize(("name", "line"), LINES)
def test_an_earlier_line_is_written_as_it_was_read(name: str, line: bytes) -> None:
    form = FORMS[name]
    assert form.write(form.read(line)) == line


@pytest.mark.parametrize("name", NAMES)
def test_earlier_fields_keep_name_kind_bounds_and_default(name: str) -> None:
    now = described(shapes.shape_of(FORMS[name].type))
    for path, earlier in described((EARLIER / "shapes" / f"{name}.txt").read_text()).items():
        kept, members = _without_members(earlier)
        today, members_today = _without_members(now[path])
        assert today == kept, path
        assert members <= members_today, path


@pytest.mark.parametrize("name", NAMES)
def test_added_fields_have_defaults(name: str) -> None:
    earlier = described((EARLIER / "shapes" / f"{name}.txt").read_text())
    parents = {path.rpartition(".")[0] for path in earlier}
    for path, description in described(shapes.shape_of(FORMS[name].type)).items():
        if path not in earlier and path.rpartition(".")[0] in parents:
            assert DEFAULT in description, path


def _without_members(description: str) -> tuple[str, set[str]]:
    found = ONE_OF.search(f" {description}")
    if found is None:
        return description, set()
    return f" {description}".replace(found.group(1), ""), set(found.group(1).split())
