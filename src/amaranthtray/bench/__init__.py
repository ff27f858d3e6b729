"""Measurements behind ``make bench``."""
