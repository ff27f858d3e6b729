"""Adapter to the users' platform: its wire formats, paths and names."""
