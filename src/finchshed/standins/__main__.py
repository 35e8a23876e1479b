"""``python -m finchshed.standins KIND SETTINGS``: what the fleet runner starts."""

import sys

from finchshed.common.errors import SettingsError
from finchshed.standins.command import Standin

PROGRAMS = {
    "backend": Standin().backend,
    "caller": Standin().caller,
    "platform": Standin().platform,
}


def main(arguments: list[str]) -> int:
    """Run the stand-in named first with the settings file named second."""
    if len(arguments) != 2 or arguments[0] not in PROGRAMS:
        print(f"usage: finchshed.standins {'|'.join(PROGRAMS)} SETTINGS", file=sys.stderr)
        return 2
    try:
        return PROGRAMS[arguments[0]](arguments[1])
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
