"""Operators' command line, a client of the control nodes' RPC service."""
