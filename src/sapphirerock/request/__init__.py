"""What lives for one request: a generation, an order, a check, a deadline."""
