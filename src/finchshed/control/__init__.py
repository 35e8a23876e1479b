"""Control nodes: the replicated state and its services for operators and daemons."""
