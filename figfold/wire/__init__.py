"""Messages between entries: types, codec, framing, client and server."""
