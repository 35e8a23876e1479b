"""Campaigns: faults drawn by seed, run on the emulator, judged by the checkers of ``proof``.

Relies on ``emulator`` for the runs and on ``proof`` for histories and checkers; neither knows of
campaigns, and ``proof`` knows of no emulator.
"""
