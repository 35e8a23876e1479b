"""The local back end: HTTP client, health monitor and registration."""
