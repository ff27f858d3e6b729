"""Clients of the platform's services: key-value store and host list."""
