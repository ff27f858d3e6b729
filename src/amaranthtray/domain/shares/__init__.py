"""Weighted fair sharing of full pools."""
