"""Replays of load patterns against the decision modules in simulated time."""
