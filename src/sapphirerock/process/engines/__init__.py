"""Engines and upstreams: registered, watched, chosen."""
