"""Settings of the host, and settings and configuration of the operators."""
