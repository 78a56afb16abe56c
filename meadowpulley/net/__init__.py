"""The real gateway: it translates between sockets and `meadowpulley.interface`, and decides nothing."""
