"""The shell of a production process: event loop, signals, planned stop, faults."""
