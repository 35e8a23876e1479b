"""The sub-command ``load``: shows the load page of one daemon.

The page comes from the daemon's admin address, not from control nodes, so that it can be read while
control is unavailable. Admin addresses ask for no token.
"""

import http.client

import msgspec

from finchshed.cli.exit_codes import ExitCode
from finchshed.common.errors import FinchshedError, SettingsError
from finchshed.configuration.validation import is_address
from finchshed.ctl.load_lines import format_page
from finchshed.ctl.output import print_error, print_result
from finchshed.http.status import STATUS_OK
from finchshed.observability.load_page import LOAD_PATH, LoadPage

DEFAULT_LOAD_TIMEOUT_SECONDS = 5.0

MAX_PAGE_BYTES = 16 << 20
"""Maximum size of a page that is read."""


class DaemonUnreachableError(FinchshedError):
    """The daemon didn't answer."""


def load(
    *,
    daemon: str = "",
    timeout: float = DEFAULT_LOAD_TIMEOUT_SECONDS,
    json: bool = False,
) -> int:
    """Show the load of a daemon's back end, of the endpoints that it calls, and its retry tokens.

    Parameters
    ----------
    daemon
        Admin address of the daemon, a.b.c.d:port.
    timeout
        Time limit for the request, in seconds.
    json
        Print the result as one JSON line.
    """
    if not is_address(daemon):
        raise SettingsError([f"flag --daemon = {daemon!r}: allowed is a.b.c.d:port"])
    try:
        page = read_page(daemon, timeout)
    except DaemonUnreachableError as error:
        print_error(f"unreachable: {error}")
        return ExitCode.UNAVAILABLE
    print_result(page, format_page(page), as_json=json)
    return ExitCode.OK


def read_page(address: str, timeout: float) -> LoadPage:
    """Return the load page of the daemon with the admin address ``address``.

    Raises
    ------
    DaemonUnreachableError
        The daemon couldn't be reached.
    FinchshedError
        What answered isn't a daemon with a load page.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request("GET", LOAD_PATH)
        response = connection.getresponse()
        body = response.read(MAX_PAGE_BYTES)
    except (OSError, http.client.HTTPException) as error:
        raise DaemonUnreachableError(f"{address}: {error!r}") from error
    finally:
        connection.close()
    if response.status != STATUS_OK:
        raise FinchshedError(f"{address}: status {response.status} for {LOAD_PATH}")
    try:
        return msgspec.json.decode(body, type=LoadPage)
    except msgspec.DecodeError as error:
        raise FinchshedError(f"{address}: not a load page that this version reads: {error}") from (
            error
        )
