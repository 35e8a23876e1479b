"""Back ends as they are known at the moment: soft state, told by the daemons beside them."""
