"""Entry point of ``finchshed`` and ``python -m finchshed``."""

import sys

from finchshed.runtime.early_signals import ignore_reload_while_loading

LONG_RUNNING_PROGRAMS = frozenset({"daemon", "control"})


def main() -> None:
    """Run the command line and exit with its code."""
    if LONG_RUNNING_PROGRAMS.intersection(sys.argv[1:2]):
        ignore_reload_while_loading()
    from finchshed.cli.main import run

    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
