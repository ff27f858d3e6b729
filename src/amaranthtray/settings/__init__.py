"""Settings of an entry, read from TOML and checked."""
