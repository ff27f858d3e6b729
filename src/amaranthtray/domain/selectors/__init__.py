"""Label selectors for hosts and work."""
