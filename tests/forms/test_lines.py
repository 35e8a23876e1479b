"""Lines of links, disks and logs: read and written again, sign for sign."""

import pytest

from tests.forms import sampling, shapes
from tests.forms.codecs import FORMS
from tests.forms.samples_made import SAMPLES

LINES = [
    pytest.param(name, line, id=f"{name}-{place}")
    for name in FORMS
    for place, line in enumerate(
        (SAMPLES / "lines" / f"{name}.jsonl").read_bytes().splitlines(keepends=True)
    )
]


def test_every_sample_file_has_its_form() -> None:
    assert {path.stem for path in (SAMPLES / "lines").iterdir()} == set(FORMS)
    assert {path.stem for path in (SAMPLES / "shapes").iterdir()} == set(FORMS)


@pytest.mark.parametrize(("name", "line"), LINES)
def test_a_line_is_written_as_it_was_read(name: str, line: bytes) -> None:
    form = FORMS[name]
    assert form.write(form.read(line)) == line


@pytest.mark.parametrize("name", FORMS)
def test_every_tag_has_a_sample(name: str) -> None:
    form = FORMS[name]
    text = (SAMPLES / "lines" / f"{name}.jsonl").read_text()
    for tag in sampling.tags_of(form.type):
        assert f':"{tag}"' in text, f"no sample of {tag}"


@pytest.mark.parametrize("name", FORMS)
def test_the_code_makes_the_same_samples(name: str) -> None:
    form = FORMS[name]
    expected = (SAMPLES / "lines" / f"{name}.jsonl").read_bytes()
    made = sampling.lines_of(form.type, form.write)
    assert made.splitlines() == expected.splitlines()


@pytest.mark.parametrize("name", FORMS)
def test_names_kinds_bounds_and_defaults_are_the_same(name: str) -> None:
    expected = (SAMPLES / "shapes" / f"{name}.txt").read_text()
    made = shapes.shape_of(FORMS[name].type)
    assert shapes.lines_to_compare(made) == shapes.lines_to_compare(expected)


def test_only_the_spelling_of_whole_bounds_is_passed_over() -> None:
    assert shapes.lines_to_compare(".a float ge=0.0 le=5.5") == [".a float ge=0 le=5.5"]
    assert shapes.lines_to_compare(".a float ge=0, default 1.0") == [".a float ge=0, default 1.0"]
    assert shapes.lines_to_compare(".a float ge=0.0") != shapes.lines_to_compare(".a float gt=0.0")
