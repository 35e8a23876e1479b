"""Writes sample files that aren't there yet: ``python -m tests.forms.write``.

A file that is there is never written over: it tells what others hold or send already. Exit code 1
where one of them differs from what today's code makes.
"""

import sys

from tests.forms.samples_made import SAMPLES, made


def main() -> int:
    """Write what is missing; return the exit code."""
    differs = False
    for name, content in made().items():
        path = SAMPLES / name
        if path.exists():
            if path.read_bytes() != content:
                print(f"{path} differs from what the code makes; it isn't written over")
                differs = True
            continue
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(content)
        print(f"wrote {path}")
    return 1 if differs else 0


if __name__ == "__main__":
    sys.exit(main())
