"""Links between processes: JSON lines over one TCP connection per peer."""
