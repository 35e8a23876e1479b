"""At-most-once ledger of requests that may not be repeated."""
