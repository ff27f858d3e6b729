"""Authenticated websocket links between entries that carry CBOR messages."""
