"""Replicated state: log commands, the state machine that applies them, and its metrics."""
