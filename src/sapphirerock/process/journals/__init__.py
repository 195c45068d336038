"""Tokens of generations, written ahead to peers."""
