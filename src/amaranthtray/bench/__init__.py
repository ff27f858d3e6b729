"""Measurements that ``make bench`` runs; each public module is a group."""
