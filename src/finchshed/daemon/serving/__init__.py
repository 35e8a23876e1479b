"""Server side of the daemon: runs calls from other daemons at the local back end."""
