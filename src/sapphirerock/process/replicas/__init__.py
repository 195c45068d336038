"""Replicas of the platform store's objects, kept up to date with peers."""
