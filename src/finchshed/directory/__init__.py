"""Back ends as they are known at the moment: soft state, reported by the daemons beside them."""
