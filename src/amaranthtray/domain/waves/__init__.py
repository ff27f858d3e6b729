"""Maintenance waves over the hosts of a selector."""
