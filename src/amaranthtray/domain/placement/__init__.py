"""Which pool each host belongs to, and the moves between pools."""
