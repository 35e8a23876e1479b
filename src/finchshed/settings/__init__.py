"""Process settings from a TOML file and command-line flags, validated before startup."""
