"""Holds that nothing on the wire, on disk or in names that others use changes.

The files under ``samples`` are the truth: they were written once, and never change. Tests read them
with today's code, write what was read and compare sign for sign.
"""
