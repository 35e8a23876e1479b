"""Client side of the daemon: sends requests to endpoints behind other daemons."""
