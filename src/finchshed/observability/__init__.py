"""Log ring, metrics and the admin endpoint of each process."""
