"""Other entry hosts: discovery, connections, gossip, shared loads and limits."""
