"""Tenants: whose request it is, by its API key."""
