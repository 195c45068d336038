"""Claims of non-idempotent calls, and orders that load models on engines."""
