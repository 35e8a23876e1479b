"""The back end beside the daemon: the HTTP client to it, its health and its registration."""
