"""Emulated daemons: the production decision modules, with links and timers of the emulator.

What is modelled here is only what :mod:`finchshed.daemon` does as input and output: links,
heartbeats, timers and HTTP to the back end. Every decision is taken by the production classes.
"""
