"""Distribution of committed configuration from control nodes to daemons."""
