"""HTTP ingress of the daemon: authentication, quotas, request handlers and responses."""
