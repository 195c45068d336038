"""Connections to callers, upstreams, peers and the platform's store."""
