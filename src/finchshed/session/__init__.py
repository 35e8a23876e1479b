"""Long-lived sessions, admitted once and pinned to an endpoint."""
