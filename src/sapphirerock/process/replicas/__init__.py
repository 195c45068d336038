"""Objects of the platform's store, as this host and its peers know them."""
