"""The serving side of the daemon: calls that come in for the back end beside it."""
