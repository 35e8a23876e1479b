"""The operators' RPC service: its schema, generated code and message conversion."""
