"""Signs that a back end is leaving, and the planned stop of a daemon."""
