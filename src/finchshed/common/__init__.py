"""Types shared by every program: errors, outcomes, importance, call context."""
