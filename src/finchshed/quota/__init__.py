"""Tenant rate limits enforced across all daemons by dividing a shared token budget among them."""
