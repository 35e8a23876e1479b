"""Reports and plots of results of experiments."""
