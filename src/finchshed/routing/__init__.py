"""Choice of a back end, and one call at the caller's side."""
