"""Signals that arrive while a program is still being loaded."""

import signal


def ignore_reload_while_loading() -> None:
    """Ignore SIGHUP until the program handles it; by default it would end the process.

    The settings file is read after this, so a reload that is requested earlier changes nothing.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
