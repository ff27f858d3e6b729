"""Scripted scenarios against the decisions, on a manual clock."""
