"""Types shared by all programs: errors, outcomes, importance, call context."""
