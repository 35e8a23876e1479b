"""Service directory: soft state about back ends, reported by the daemons beside them."""
