"""Emulated daemons, which run the production decision logic over simulated input and output.

Only the input and output of :mod:`finchshed.daemon` is modelled: links, heartbeats, timers and HTTP
to the back end. Decisions are made by the production classes.
"""
