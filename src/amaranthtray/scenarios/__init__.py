"""Scripted scenarios that run the entry's decision logic on a virtual clock."""
