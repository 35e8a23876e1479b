"""What daemons ask of a control node, and what it sends them."""
