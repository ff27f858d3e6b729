"""Clients without limits against an entry's own process."""
