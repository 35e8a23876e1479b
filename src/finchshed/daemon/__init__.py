"""The daemon that runs beside each back end, and at the edge in front of external clients."""
