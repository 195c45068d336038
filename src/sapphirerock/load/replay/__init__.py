"""Replays of load patterns against the decisions, on a clock of their own."""
