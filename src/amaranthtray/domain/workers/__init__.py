"""What an entry knows about backend servers: slots, health and retries."""
