"""Services of a control node for daemons."""
