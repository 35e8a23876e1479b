"""Distribution of accepted configuration from control nodes to daemons."""
