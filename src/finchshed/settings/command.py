"""The ``finchshed config`` commands: check and show settings, print samples."""

from collections.abc import Callable, Mapping
from pathlib import Path

import msgspec

from finchshed.cli.exit_codes import ExitCode
from finchshed.cli.table import PROGRAMS
from finchshed.common.errors import SettingsError
from finchshed.settings.hints import hint_for
from finchshed.settings.loader import load
from finchshed.settings.sample import sample_of, toml_value

SAMPLE_SUFFIX = ".sample.toml"


def check(program: str, settings: str | None = None, **flags: object) -> int:
    """Check settings of PROGRAM without starting it; all problems at once.

    SETTINGS is the TOML file; any option of the program may come as a flag.
    """
    load(_settings_type(program), settings, flags)
    print(f"{settings or 'flags'}: fine for finchshed {program}")
    return ExitCode.OK


def show(program: str, settings: str | None = None, **flags: object) -> int:
    """Show the effective settings of PROGRAM, each with where its value comes from."""
    loaded = load(_settings_type(program), settings, flags)
    for name, origin in loaded.origins.items():
        print(f"{name} = {toml_value(getattr(loaded.value, name))}  # {origin}")
    return ExitCode.OK


def sample(program: str = "", folder: str = "", check: bool = False) -> int:
    """Print a sample settings file of PROGRAM: every option, commented.

    With FOLDER, write NAME.sample.toml there for PROGRAM or, without it, for each program. With
    CHECK, write nothing and fail where a file there differs from what the code says.
    """
    names = [program] if program else list(PROGRAMS)
    if not folder:
        print("\n".join(sample_of(name, _settings_type(name)) for name in names))
        return ExitCode.OK
    outdated = False
    for name in names:
        path = Path(folder) / (name + SAMPLE_SUFFIX)
        text = sample_of(name, _settings_type(name))
        if check:
            outdated |= _is_outdated(path, text)
        else:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text, encoding="utf-8")
    return ExitCode.FAILED if outdated else ExitCode.OK


COMMANDS: Mapping[str, Callable[..., int]] = {"check": check, "show": show, "sample": sample}


def _settings_type(program: str) -> type[msgspec.Struct]:
    if program not in PROGRAMS:
        names = ", ".join(PROGRAMS)
        hint = hint_for(program, PROGRAMS)
        raise SettingsError([f"program = {program}: allowed is one of {names}{hint}"])
    return PROGRAMS[program].settings_type()


def _is_outdated(path: Path, text: str) -> bool:
    if path.exists() and path.read_text(encoding="utf-8") == text:
        return False
    print(f"{path} doesn't match the code: write it with finchshed config sample --folder")
    return True
