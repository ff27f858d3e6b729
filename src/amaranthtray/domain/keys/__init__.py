"""Verification of team and operator keys."""
