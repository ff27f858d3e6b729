"""The entry process: HTTP interfaces for callers and operators, and its threads."""
