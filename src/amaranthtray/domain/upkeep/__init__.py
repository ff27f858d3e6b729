"""Moves of machines between pools and maintenance of machines in waves."""
