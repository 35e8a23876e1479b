"""The calling side of the daemon: requests that are sent to endpoints of other daemons."""
