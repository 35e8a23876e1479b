"""HTTP/1.1 server for callers and back ends."""
