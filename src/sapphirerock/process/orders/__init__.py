"""Claims of orders, and orders to engines."""
