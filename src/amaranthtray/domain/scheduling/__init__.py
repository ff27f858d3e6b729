"""What a pool's conductor starts, stops, moves and paces on its hosts."""
