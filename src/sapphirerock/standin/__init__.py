"""Stand-ins for engines, plain services and the platform, with fault injection."""
