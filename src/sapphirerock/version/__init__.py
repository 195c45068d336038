"""Immutable data decoded from one version of the settings."""
