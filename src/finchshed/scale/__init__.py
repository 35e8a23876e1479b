"""The scale run: many hollow daemons beside real processes, and slopes measured from it."""
