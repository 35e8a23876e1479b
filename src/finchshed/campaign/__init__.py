"""Randomized fault-injection campaigns, run on the emulator and checked by ``proof``.

Depends on ``emulator`` for the runs and on ``proof`` for histories and checkers. Neither depends on
this package, and ``proof`` doesn't depend on ``emulator``.
"""
