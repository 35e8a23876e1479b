"""Analysis of structured logs from several processes."""
