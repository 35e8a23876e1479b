"""Limits of tenants that hold over all daemons: a pool of tokens, divided among them."""
