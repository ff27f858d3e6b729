"""Links between entries: websockets that carry CBOR messages."""
