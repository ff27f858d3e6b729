"""The demo: a small fleet of stand-ins, entries and callers in one process."""
