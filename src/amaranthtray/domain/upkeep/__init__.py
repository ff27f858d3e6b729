"""Maintenance waves, and moves of machines between pools."""
