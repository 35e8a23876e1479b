"""The HTTP listener: connections of callers, their requests and the answers to them."""
