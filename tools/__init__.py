"""Tools for tests and experiments."""
