"""Soak: entries as real processes, with stand-ins around them and seeded faults."""
