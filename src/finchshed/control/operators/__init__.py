"""What operators ask of a control node."""
