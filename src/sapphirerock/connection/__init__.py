"""What lives for one connection: to callers, upstreams, peers, the platform."""
