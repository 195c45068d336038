"""What lives for one version of the settings and never changes after."""
