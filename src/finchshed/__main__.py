"""Entry point of ``finchshed`` and ``python -m finchshed``."""

import sys

from finchshed.cli.main import run


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
