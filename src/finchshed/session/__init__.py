"""Long-lived sessions that are admitted once and pinned to an endpoint."""
