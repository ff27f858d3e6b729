"""Recorded traces and their replay through the decisions."""
