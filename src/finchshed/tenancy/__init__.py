"""Identification of tenants by API key."""
