"""Settings of a process: one TOML file, flags over it, typed and checked before anything starts."""
