"""Remote procedure calls towards operators: the schema and the code generated from it."""
