"""Where requests enter the daemon over HTTP: who may send them, and how they are answered."""
