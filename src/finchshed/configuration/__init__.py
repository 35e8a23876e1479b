"""Declared configuration: resource types, changes, validation and the versioned store."""
