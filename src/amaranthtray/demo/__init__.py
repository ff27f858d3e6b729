"""The demo: stand-ins, entries and callers in one process."""
