"""Detection and quarantine of requests that crash the back ends running them."""
