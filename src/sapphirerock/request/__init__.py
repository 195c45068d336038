"""Handling of single requests: calls, streams, generations and problems."""
