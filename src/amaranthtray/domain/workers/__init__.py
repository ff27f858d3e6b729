"""Slots, health and task leases of the backend servers that an entry uses."""
