"""Control nodes: the replicated state, and its service to operators and daemons."""
