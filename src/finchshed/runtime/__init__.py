"""Process runtime: event loop, signals, graceful shutdown, fault handling."""
