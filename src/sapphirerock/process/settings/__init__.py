"""Settings of the host and of its operators."""
