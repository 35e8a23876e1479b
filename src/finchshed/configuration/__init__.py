"""Declared configuration: typed resources, changes, and the versioned store."""
