"""Measures what each role costs per unit of size, for docs/CAPACITY.md."""
