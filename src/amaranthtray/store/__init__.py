"""Client of the platform's key-value store and what entries keep in it."""
