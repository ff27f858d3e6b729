"""Scheduling of one pool: which run starts, stops, moves or slows on which host."""
