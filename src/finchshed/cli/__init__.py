"""Command line: the table of commands, parsing by fire, help and exit codes."""
