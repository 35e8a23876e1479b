"""Stand-ins for back ends, callers and the platform, used to run whole deployments for proof."""
