"""Request handling: plain calls, streams, generations, orders and problem responses."""
