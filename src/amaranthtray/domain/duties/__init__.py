"""Duties held under platform leases with fencing terms."""
