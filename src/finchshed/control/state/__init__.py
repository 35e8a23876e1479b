"""The replicated state: commands, the state machine they drive, and its metrics."""
